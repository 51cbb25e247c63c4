package brambletray.platform.transport;

import brambletray.platform.settings.Address;
import brambletray.runtime.Machine;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a link to one address: calls it, and calls again whenever the link ends, after pauses that grow from 50 ms to 1
 * s and are shortened by up to a quarter, by the seed, so that many do not call in step. For the loop only.
 */
public final class LinkDialer implements AutoCloseable {
    static final int FIRST_PAUSE_MS = 50;
    static final int LONGEST_PAUSE_MS = 1_000;
    /** ms after which a call that hasn't come up is taken for one to a machine that was away when it began. */
    private static final int HUNG_MS = 50;
    /** ms that a link must have held for the pauses to begin anew. */
    private static final int SOUND_MS = 1_000;

    private static final long NEVER = Long.MAX_VALUE;

    private final Machine machine;
    private final FrameCodec speech;
    private final Address to;
    private final LinkHandler handler;
    private long seed;
    private int pauseMs = FIRST_PAUSE_MS;
    private Link link;
    private boolean dialling;
    private ChannelFuture calling;
    private long calledAt;
    private boolean hurried;
    private ScheduledFuture<?> next;
    private boolean closed;
    private long upAt = NEVER;

    /** Calls from the loop's next turn on; {@code handler} hears of each link that comes of it. */
    public LinkDialer(Machine machine, FrameCodec speech, Address to, LinkHandler handler, long seed) {
        this.machine = machine;
        this.speech = speech;
        this.to = to;
        this.handler = handler;
        this.seed = seed;
        machine.loop().execute(this::dial);
    }

    /** Where it calls. */
    public Address to() {
        return to;
    }

    /** The link that is up now, or null. */
    public Link link() {
        return link;
    }

    /** Whether a link is up. */
    public boolean up() {
        return link != null;
    }

    /** Says a frame if a link is up; false if there is none or it is full. */
    public boolean say(Object frame) {
        return link != null && link.say(frame);
    }

    /**
     * Says a frame that yields to all others of the link ({@link Link#sayBulk}); false if there is no link or it is
     * full.
     */
    public boolean sayBulk(Object frame) {
        return link != null && link.sayBulk(frame);
    }

    /**
     * Someone says the other end is there: calls now, and the pauses begin anew. A call that began while its machine
     * was away hangs until its packet is sent again, a second later; it is given up for a new one.
     */
    public void hurry() {
        pauseMs = FIRST_PAUSE_MS;
        if (next != null && next.cancel(false)) {
            next = null;
            dial();
        } else if (dialling
                && link == null
                && machine.clock().nanos() - calledAt > TimeUnit.MILLISECONDS.toNanos(HUNG_MS)
                && !calling.isDone()) {
            hurried = true;
            calling.channel().close();
        }
    }

    /** Ends the link and calls no more. */
    @Override
    public void close() {
        closed = true;
        if (next != null) {
            next.cancel(false);
            next = null;
        }
        if (link != null) {
            link.close("no longer wanted");
        }
    }

    private void dial() {
        next = null;
        if (closed || dialling) {
            return;
        }
        dialling = true;
        upAt = NEVER;
        calledAt = machine.clock().nanos();
        ChannelFuture called = machine.dialling(
                        Sockets.CONNECT_TIMEOUT_MS, new FrameChannelHandler(speech, new Kept(), true))
                .option(ChannelOption.ALLOCATOR, Sockets.buffers())
                .connect(new InetSocketAddress(to.host(), to.port()));
        calling = called;
        called.addListener(done -> {
            if (!done.isSuccess()) {
                machine.loop().execute(this::again);
                return;
            }
            called.channel().closeFuture().addListener(ended -> again());
            if (closed) {
                called.channel().close();
            }
        });
    }

    private void again() {
        dialling = false;
        if (closed || next != null) {
            return;
        }
        if (hurried) {
            hurried = false;
            dial();
            return;
        }
        if (upAt != NEVER && machine.clock().nanos() - upAt > TimeUnit.MILLISECONDS.toNanos(SOUND_MS)) {
            pauseMs = FIRST_PAUSE_MS;
        }
        int pause = pauseMs - (int) (pauseMs * jitter() / 4);
        pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
        next = machine.loop().schedule(this::dial, pause, TimeUnit.MILLISECONDS);
    }

    /** 0 to 1, the next of the seed's row (SplitMix64). */
    private double jitter() {
        seed += 0x9e3779b97f4a7c15L;
        long z = (seed ^ (seed >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return ((z ^ (z >>> 31)) >>> 11) * 0x1p-53;
    }

    /** Notes the link, for {@link #link()}, before the owner hears of it. */
    private final class Kept implements LinkHandler {
        @Override
        public void up(Link now) {
            link = now;
            upAt = machine.clock().nanos();
            if (closed) {
                now.close("no longer wanted");
            }
            handler.up(now);
        }

        @Override
        public void heard(Link now, Object frame) {
            handler.heard(now, frame);
        }

        @Override
        public void down(Link now, String why) {
            if (link == now) {
                link = null;
            }
            handler.down(now, why);
        }
    }
}
