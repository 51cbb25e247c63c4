package brambletray.relay.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** One folder as the store needs it; real, or in memory with faults. Names are plain file names. */
public interface Disk {
    /** An open file. Reads and writes name their place; there is no position. */
    interface File {
        /** Writes all of it, or throws; after an exception any part may be there. */
        void write(long at, ByteBuffer bytes) throws IOException;

        /** Reads up to so many bytes; fewer at the end of the file. */
        byte[] read(long at, int most) throws IOException;

        long size() throws IOException;

        void truncate(long size) throws IOException;

        /** What was written outlasts the machine, when this returns. After an exception nothing is known. */
        void sync() throws IOException;

        void close() throws IOException;
    }

    /** Opens a file; creates it if asked to. */
    File open(String name, boolean create) throws IOException;

    boolean exists(String name) throws IOException;

    /** Puts a file in another's place, at once: whoever looks sees the one or the other. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file; none of that name is no fault. */
    void delete(String name) throws IOException;

    /** All names, in order. */
    List<String> list() throws IOException;

    /** Names made, renamed and deleted so far outlast the machine, when this returns. */
    void syncNames() throws IOException;

    /** Takes the folder for this process; throws if another has it. */
    AutoCloseable lock(String name) throws IOException;
}
