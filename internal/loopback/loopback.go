// Package loopback chooses loopback addresses for systems that run in one process,
// as tests do, and that stop a host and later bind its ports again. On 127.0.0.1
// another process can take such a port in between, for a listener of its own or for
// an outgoing connection, and gets the messages that were meant for the stopped
// host. An address that only one system uses has no such rivals.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// maxAddresses is the number of addresses for one process.
const maxAddresses = 250

var used atomic.Uint32

// AnyPort returns "IP:0" with a loopback address that differs between the callers
// in this process, and between processes whose ids are near each other.
func AnyPort() string {
	const (
		firstNetwork = 16 // 127.0 to 127.15 are left to fixed addresses
		networks     = 239
	)
	pid := os.Getpid()
	n := used.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", firstNetwork+pid/256%networks, pid%256, 1+n%maxAddresses)
}
