package identifier_test

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/state/identifier"
)

var update = flag.Bool("update", false, "write the golden files anew")

func TestReadListsAllFaults(t *testing.T) {
	_, err := identifier.Read("testdata/faults.ini")
	var fe *identifier.FaultsError
	require.ErrorAs(t, err, &fe)
	if *update {
		require.NoError(t, os.WriteFile("testdata/faults.golden", []byte(err.Error()), 0o600))
	}
	want, readErr := os.ReadFile("testdata/faults.golden")
	require.NoError(t, readErr)
	require.Equal(t, string(want), err.Error())
}

func TestReadReturnsAllSettings(t *testing.T) {
	nd, err := identifier.Read("testdata/whole.ini")
	require.NoError(t, err)
	require.Equal(t, []string{"entry-1", "zone-a", "region-1", "10.0.0.1:8080", "10.0.0.1:7070", "http://10.0.0.5:2379", "http://10.0.0.5/v1/vms"},
		[]string{nd.ID(), nd.Zone(), nd.Region(), nd.CallerAddress(), nd.PeerAddress(), nd.Store(), nd.VMList()})
	require.False(t, nd.CallerTLS().IsSet())
	require.True(t, nd.PeerTLS().IsSet())
	_, err = identifier.Read("testdata/absent.ini")
	require.ErrorIs(t, err, os.ErrNotExist)
}
