package receiver

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A region was cut off from 3 s to 13 s. Connections that clients opened here meanwhile must close once its daemons are
// back in rotation; older and newer ones must stay open.
func TestClientsReturnAfterACut(t *testing.T) {
	var b rebalancing
	require.False(t, b.closes(5000, 4000))
	b.start(13000, 10000)
	require.False(t, b.closes(14000, 4000), "the daemons there are not in rotation yet")
	require.True(t, b.closes(16000, 4000))
	require.False(t, b.closes(16000, 1000), "opened before the cut")
	require.False(t, b.closes(17000, 16000), "opened after the cut")
	require.False(t, b.closes(40000, 4000))
}
