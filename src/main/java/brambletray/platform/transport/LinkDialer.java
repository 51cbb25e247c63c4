package brambletray.platform.transport;

import brambletray.common.runtime.Machine;
import brambletray.platform.settings.Address;
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
    static final int MIN_BACKOFF_MS = 50;
    static final int MAX_BACKOFF_MS = 1_000;
    /** ms after which a call that hasn't come up is taken for one to a machine that was away when it began. */
    private static final int CONNECT_HUNG_MS = 50;
    /** ms that a link must have held for the pauses to begin anew. */
    private static final int STABLE_AFTER_MS = 1_000;

    private static final long NEVER = Long.MAX_VALUE;

    private final Machine machine;
    private final FrameCodec codec;
    private final Address target;
    private final LinkHandler handler;
    private long seed;
    private int backoffMs = MIN_BACKOFF_MS;
    private Link link;
    private boolean dialing;
    private ChannelFuture connecting;
    private long connectStartedAtMs;
    private boolean hurriedSinceMs;
    private ScheduledFuture<?> nextAttempt;
    private boolean closed;
    private long upSinceMs = NEVER;

    /** Calls from the loop's next turn on; {@code handler} hears of each link that comes of it. */
    public LinkDialer(Machine machine, FrameCodec codec, Address to, LinkHandler handler, long seed) {
        this.machine = machine;
        this.codec = codec;
        this.target = to;
        this.handler = handler;
        this.seed = seed;
        machine.loop().execute(this::dial);
    }

    /** Where it calls. */
    public Address target() {
        return target;
    }

    /** The link that is up now, or null. */
    public Link link() {
        return link;
    }

    /** Whether a link is up. */
    public boolean isUp() {
        return link != null;
    }

    /** Says a frame if a link is up; false if there is none or it is full. */
    public boolean send(Object frame) {
        return link != null && link.send(frame);
    }

    /**
     * Says a frame that yields to all others of the link ({@link Link#sendBulk}); false if there is no link or it is
     * full.
     */
    public boolean sendBulk(Object frame) {
        return link != null && link.sendBulk(frame);
    }

    /**
     * Someone says the other end is there: calls now, and the pauses begin anew. A call that began while its machine
     * was away hangs until its packet is sent again, a second later; it is given up for a new one.
     */
    public void dialNow() {
        backoffMs = MIN_BACKOFF_MS;
        if (nextAttempt != null && nextAttempt.cancel(false)) {
            nextAttempt = null;
            dial();
        } else if (dialing
                && link == null
                && machine.clock().nanos() - connectStartedAtMs > TimeUnit.MILLISECONDS.toNanos(CONNECT_HUNG_MS)
                && !connecting.isDone()) {
            hurriedSinceMs = true;
            connecting.channel().close();
        }
    }

    /** Ends the link and calls no more. */
    @Override
    public void close() {
        closed = true;
        if (nextAttempt != null) {
            nextAttempt.cancel(false);
            nextAttempt = null;
        }
        if (link != null) {
            link.close("no longer wanted");
        }
    }

    private void dial() {
        nextAttempt = null;
        if (closed || dialing) {
            return;
        }
        dialing = true;
        upSinceMs = NEVER;
        connectStartedAtMs = machine.clock().nanos();
        ChannelFuture future = machine.dialling(
                        Sockets.CONNECT_TIMEOUT_MS, new FrameChannelHandler(codec, new LinkTracker(), true))
                .option(ChannelOption.ALLOCATOR, Sockets.buffers())
                .connect(new InetSocketAddress(target.host(), target.port()));
        connecting = future;
        future.addListener(done -> {
            if (!done.isSuccess()) {
                machine.loop().execute(this::scheduleRetry);
                return;
            }
            future.channel().closeFuture().addListener(ended -> scheduleRetry());
            if (closed) {
                future.channel().close();
            }
        });
    }

    private void scheduleRetry() {
        dialing = false;
        if (closed || nextAttempt != null) {
            return;
        }
        if (hurriedSinceMs) {
            hurriedSinceMs = false;
            dial();
            return;
        }
        if (upSinceMs != NEVER
                && machine.clock().nanos() - upSinceMs > TimeUnit.MILLISECONDS.toNanos(STABLE_AFTER_MS)) {
            backoffMs = MIN_BACKOFF_MS;
        }
        int delayMs = backoffMs - (int) (backoffMs * jitter() / 4);
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        nextAttempt = machine.loop().schedule(this::dial, delayMs, TimeUnit.MILLISECONDS);
    }

    /** 0 to 1, the next of the seed's row (SplitMix64). */
    private double jitter() {
        seed += 0x9e3779b97f4a7c15L;
        long z = (seed ^ (seed >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return ((z ^ (z >>> 31)) >>> 11) * 0x1p-53;
    }

    /** Notes the link, for {@link #link()}, before the owner hears of it. */
    private final class LinkTracker implements LinkHandler {
        @Override
        public void onLinkUp(Link now) {
            link = now;
            upSinceMs = machine.clock().nanos();
            if (closed) {
                now.close("no longer wanted");
            }
            handler.onLinkUp(now);
        }

        @Override
        public void onFrame(Link now, Object frame) {
            handler.onFrame(now, frame);
        }

        @Override
        public void onLinkDown(Link now, String reason) {
            if (link == now) {
                link = null;
            }
            handler.onLinkDown(now, reason);
        }
    }
}
