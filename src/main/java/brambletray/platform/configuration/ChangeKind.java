package brambletray.platform.configuration;

/** How a body changes the configuration. */
public enum ChangeKind {
    /** The body is the complete next configuration. */
    REPLACE,
    /** The body lists items to set and to remove. */
    MODIFY
}
