// Command quayd runs a host of greengagequay.
package main

import (
	"os"

	"greengagequay/internal/daemon"
	"greengagequay/platform"
)

func main() { os.Exit(daemon.Main(os.Args[1:], platform.Adapter{}, os.Stdout, os.Stderr)) }
