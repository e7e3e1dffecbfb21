package maintenance

import (
	tw "github.com/tamarindworks/tamarindworks"
)

// decideMoves moves machines between pools.
func (s *State) decideMoves(_ *Decision) {}

// stillWanted tells whether a move that waits for its machine is still wanted.
func (s *State) stillWanted(_ Order) bool { return true }

var _ tw.PoolID
