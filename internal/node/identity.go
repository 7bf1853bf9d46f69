package node

import (
	"fmt"
	"math/rand/v2"

	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

// identityFile is the file that keeps who a control instance is.
const identityFile = "identity"

// loadIdentity reads who the instance is, or makes and keeps it. An id lives
// as long as the disk: an instance whose disk is lost gets another one at the
// same address, so that nothing the old one promised is counted for, or broken
// by, the new one.
func loadIdentity(files storage.Files, c ControlConfig) (*wire.Identity, error) {
	stored := &wire.Identity{}
	found, err := storage.LoadMessage(files, identityFile, stored)
	if found || err != nil {
		return stored, err
	}
	created := newIdentity(c)
	return created, storage.SaveMessage(files, identityFile, created)
}

// newIdentity makes a founder of a seed at the very first start, and somebody
// new otherwise.
func newIdentity(c ControlConfig) *wire.Identity {
	address := c.Peer.String()
	var founders []string
	isSeed := false
	for _, seed := range c.Seeds {
		founders = append(founders, seed.String())
		isSeed = isSeed || seed == c.Peer
	}
	if c.First && isSeed {
		return &wire.Identity{Id: address, Founders: founders}
	}
	return &wire.Identity{Id: fmt.Sprintf("%s#%08x", address, rand.Uint32())}
}
