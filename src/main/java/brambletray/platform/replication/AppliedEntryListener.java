package brambletray.platform.replication;

/** Told what the state machine of this member has been given. */
interface AppliedEntryListener {
    /** The state machine has applied this entry. */
    void onApplied(LogEntry entry);

    /** The state machine has been replaced by a snapshot: what lay between was not applied one by one. */
    void onSnapshotInstalled();
}
