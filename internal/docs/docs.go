// Package docs holds tests that compare the pages under docs with the code.
package docs
