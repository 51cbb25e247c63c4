package brambletray.platform.transport;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;

/**
 * How frames are written: four bytes of length, then class and object as Kryo has them. Only classes that were
 * registered are written or read. One a process, for the loop only.
 */
public final class FrameCodec {
    /** Bytes of the longest frame, without its length. */
    public static final int MAX_FRAME_BYTES = 8 << 20;
    /** The number of this format; raised when frames are laid out another way. */
    static final int FORMAT = 1;

    static final int LENGTH_BYTES = 4;
    /** Buffers longer than this are released after a frame. */
    private static final int MAX_RETAINED_BYTES = 64 << 10;

    private static final int INITIAL_BYTES = 1 << 10;

    private final Kryo kryo = new Kryo();
    private final long fingerprint;
    private Output out = new Output(INITIAL_BYTES, MAX_FRAME_BYTES);
    private final Input in = new Input();
    private byte[] scratch = new byte[INITIAL_BYTES];

    /**
     * For frames of these classes, and those that their components name; every process lists the same in the same
     * order.
     */
    public FrameCodec(List<List<Class<?>>> frames) {
        kryo.setRegistrationRequired(true);
        kryo.setReferences(false);
        FrameRegistry lexicon = new FrameRegistry(kryo);
        for (List<Class<?>> plane : frames) {
            plane.forEach(lexicon::add);
        }
        fingerprint = lexicon.fingerprint();
    }

    /** The same in two processes whose frames are laid out alike. */
    long fingerprint() {
        return fingerprint;
    }

    /**
     * Appends a frame; the buffer is unchanged if that fails.
     *
     * @throws TransportException {@code speech.unwritable}, for a class that is not registered or a frame over
     * {@link #MAX_FRAME_BYTES}
     */
    void write(Object frame, ByteBuf to) {
        out.reset();
        try {
            kryo.writeClassAndObject(out, frame);
        } catch (KryoException | IllegalArgumentException e) {
            out = new Output(INITIAL_BYTES, MAX_FRAME_BYTES);
            kryo.reset();
            throw new TransportException(
                    "transport.unwritable",
                    "cannot write " + frame.getClass().getSimpleName() + ": " + e.getMessage(),
                    e);
        }
        int length = out.position();
        to.ensureWritable(LENGTH_BYTES + length);
        to.writeInt(length).writeBytes(out.getBuffer(), 0, length);
        if (out.getBuffer().length > MAX_RETAINED_BYTES) {
            out = new Output(INITIAL_BYTES, MAX_FRAME_BYTES);
        }
    }

    /**
     * Reads the frame in the next {@code length} bytes, which are consumed in any case.
     *
     * @throws TransportException {@code transport.unreadable}, for bytes that are not exactly one frame
     */
    Object read(ByteBuf from, int length) {
        byte[] bytes = ensureScratch(length);
        from.readBytes(bytes, 0, length);
        in.setBuffer(bytes, 0, length);
        try {
            Object frame = kryo.readClassAndObject(in);
            if (frame == null || in.position() != length) {
                throw new TransportException(
                        "transport.unreadable", "a frame of " + length + " bytes ends at " + in.position(), null);
            }
            return frame;
        } catch (TransportException e) {
            throw e;
        } catch (RuntimeException e) {
            kryo.reset();
            throw new TransportException(
                    "transport.unreadable", "cannot read a frame of " + length + " bytes: " + e, e);
        }
    }

    private byte[] ensureScratch(int length) {
        if (length > MAX_RETAINED_BYTES) {
            return new byte[length];
        }
        if (scratch.length < length) {
            scratch = new byte[Integer.highestOneBit(length - 1) << 1];
        }
        return scratch;
    }

    /** For tests: the frame as another process would have it. */
    public Object roundTrip(Object frame) {
        ByteBuf bytes = Unpooled.buffer();
        write(frame, bytes);
        return read(bytes, bytes.readInt());
    }
}
