package brambletray.platform.replication;

/** Listener for the entries and snapshots that the state machine of this member applies. */
interface AppliedEntryListener {
    /** Called after the state machine has applied the entry. */
    void onApplied(LogEntry entry);

    /** Called after a snapshot has replaced the state: the entries it covers were not applied one by one. */
    void onSnapshotInstalled();
}
