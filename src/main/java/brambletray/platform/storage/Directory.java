package brambletray.platform.storage;

import java.io.IOException;
import java.util.List;

/** One folder of a disk, by the few operations that a store needs. Names have no folders in them. */
interface Directory {
    /** The file that is written to; it is at most one at a time. */
    interface FileWriter {
        /** Appends. */
        void write(byte[] bytes, int offset, int count) throws IOException;

        /** On return all that was written stays, whatever happens. */
        void sync() throws IOException;

        void close() throws IOException;
    }

    /** The names of all files. */
    List<String> names() throws IOException;

    /** Bytes in a file; 0 if there is none. */
    long length(String name);

    /** Reads up to {@code count} bytes from {@code at} on; fewer only at the file's end. */
    int read(String name, long at, byte[] to, int offset, int count) throws IOException;

    /** Goes on with a file at this length; it is made, cut or filled up if it has another. */
    FileWriter open(String name, long length) throws IOException;

    /** Cuts a file, durably. */
    void truncate(String name, long length) throws IOException;

    /** Removes a file, if it is there. */
    void remove(String name) throws IOException;

    /** On return all that is in a file stays, whatever happens; not the file's name, if that is new. */
    void sync(String name) throws IOException;

    /**
     * On return all files that were made or removed are so, whatever happens; until then each may come or go by itself.
     */
    void sync() throws IOException;
}
