package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/platform"
	"github.com/cranberrybay/cranberrybay/watch"
)

// Guards against a process that was cut off when the configuration changed and takes the older copy of a
// restored store for the newest one, and against fetches of changes that are only on their way.
func TestNewerConfigIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, fetches, offered := &config.Tracker{}, 0, []watch.Row(nil)
		apply := func(version uint64) {
			c, err := config.New(config.Content{Version: version})
			assert.NilError(t, err)
			tracker.Apply(c)
		}
		n := &newerConfig{tracker: tracker, log: zerolog.Nop(), offer: func(rows []watch.Row) { offered = rows }}
		n.fetch = func(_ context.Context, address string, _ bool) (snapshot, error) {
			fetches++
			assert.Equal(t, address, "a")
			row := watch.Row{Key: "config", Value: []byte("version 7")}
			return snapshot{tables: map[string]watch.State{platform.TableConfig: {Page: watch.Page{Rows: []watch.Row{row}}}}}, nil
		}
		observe := func(version uint64) {
			for range 10 {
				n.observe(version, beat.Peer{Name: "a", Address: "a"})
			}
		}
		observe(7) // this process is still starting
		apply(5)
		observe(5)
		observe(6)
		apply(6) // arrives before it is fetched
		time.Sleep(2 * newerConfigDelay)
		synctest.Wait()
		assert.Equal(t, fetches, 0)
		observe(7)
		time.Sleep(2 * newerConfigDelay)
		synctest.Wait()
		assert.Equal(t, fetches, 1)
		assert.Equal(t, string(offered[0].Value), "version 7")
	})
}
