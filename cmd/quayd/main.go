// Command quayd is a host of greengagequay.
package main

import (
	"os"

	"greengagequay/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
