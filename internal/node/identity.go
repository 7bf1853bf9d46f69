package node

import (
	"fmt"
	"math/rand/v2"

	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

// identityFile is the name of the file with the identity of a control instance.
const identityFile = "identity"

// loadIdentity reads the identity of the instance, or creates and saves a new one. An ID
// lives only as long as the disk: after the loss of a disk the instance gets a new ID at the
// same address, so that votes and acknowledgements of the old ID are neither attributed
// to the new one nor contradicted by it.
func loadIdentity(files storage.Files, c ControlConfig) (*wire.Identity, error) {
	stored := &wire.Identity{}
	found, err := storage.LoadMessage(files, identityFile, stored)
	if found || err != nil {
		return stored, err
	}
	created := newIdentity(c)
	return created, storage.SaveMessage(files, identityFile, created)
}

// newIdentity returns the identity of a founder for a seed at the first start of the whole
// fleet, and otherwise an ID that has never been used.
func newIdentity(c ControlConfig) *wire.Identity {
	address := c.PeerAddr.String()
	var founders []string
	isSeed := false
	for _, seed := range c.Seeds {
		founders = append(founders, seed.String())
		isSeed = isSeed || seed == c.PeerAddr
	}
	if c.FirstStart && isSeed {
		return &wire.Identity{Id: address, Founders: founders}
	}
	return &wire.Identity{Id: fmt.Sprintf("%s#%08x", address, rand.Uint32())}
}
