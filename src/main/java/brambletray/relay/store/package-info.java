/** The embedded store: a segmented log, its manifest, compaction and repair (docs/store.md). */
package brambletray.relay.store;
