package brambletray.platform.storage;

import java.io.IOException;
import java.util.List;

/** The operations that a store needs on a directory. File names contain no path separators. */
interface Directory {
    /** A file open for appending; at most one is open at a time. */
    interface FileWriter {
        /** Appends. */
        void write(byte[] bytes, int offset, int count) throws IOException;

        /** On return, all written bytes are durable. */
        void sync() throws IOException;

        void close() throws IOException;
    }

    /** The names of all files. */
    List<String> names() throws IOException;

    /** Length of a file in bytes; 0 if it does not exist. */
    long length(String name);

    /** Reads up to {@code count} bytes starting at {@code position}; returns fewer only at the end of the file. */
    int read(String name, long position, byte[] buffer, int offset, int count) throws IOException;

    /** Opens a file for appending at this length; it is created, truncated or extended as needed. */
    FileWriter open(String name, long length) throws IOException;

    /** Truncates a file; durable on return. */
    void truncate(String name, long length) throws IOException;

    /** Removes a file if it exists. */
    void remove(String name) throws IOException;

    /** On return, the contents of a file are durable; its name is not, if the file is new. */
    void sync(String name) throws IOException;

    /**
     * On return, all creations and removals of files are durable. Until then, a loss of power may undo each of them
     * independently.
     */
    void sync() throws IOException;
}
