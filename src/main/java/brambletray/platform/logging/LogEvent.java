package brambletray.platform.logging;

/**
 * An event to be logged, with a name and typed fields. Packages without I/O hand such events to their caller, which
 * logs them by {@link EventLog#log}; so a test can compare them as values.
 */
public interface LogEvent {
    /** Takes the fields of an event one by one. */
    interface FieldSink {
        /**
         * One field.
         *
         * @param name as it appears in the log line
         * @param value null, a boolean and a finite number are written as such, everything else as a JSON string
         */
        void field(String name, Object value);
    }

    /** The event's name as it appears in the log line. */
    String name();

    /** Hands over the fields, in the order in which they appear in the log line. */
    void writeFields(FieldSink sink);

    /** Whether an operator should act on it: it is then logged as a warning. */
    default boolean needsAttention() {
        return false;
    }
}
