// Package api holds the client and the server of the API. All files but this
// one are generated from api/openapi.yaml by scripts/generate.
package api
