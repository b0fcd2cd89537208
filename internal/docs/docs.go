// Package docs holds the tests that keep the pages under docs in step with
// the code.
package docs
