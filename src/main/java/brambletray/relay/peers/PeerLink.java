package brambletray.relay.peers;

import brambletray.common.runtime.Machine;
import brambletray.relay.recovery.FolderFinding;
import brambletray.relay.recovery.GenerationInquiry;
import brambletray.relay.recovery.StoreFreshness;
import brambletray.relay.recovery.WitnessReport;
import brambletray.relay.store.Store;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.net.SocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The link to the peers: asks them at the start, reports to them how far this relay has come while it runs,
 * and answers those that ask. On the machine's event loop. Nothing that it hears is needed to go on: a lost
 * message makes a relay that starts ask again, and more careful at worst.
 */
final class PeerLink {
    private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);
    /** ms between two questions; and between two warnings about messages that are of no use. */
    private static final long REQUEST_INTERVAL_MS = 100;

    private static final long WARN_INTERVAL_MS = 10_000;

    private final Machine machine;
    private final PeersFile file;
    private final PeerMessageCodec codec;
    private final PeerObservations observations;
    private final List<String> names;
    private final long nonce = new SecureRandom().nextLong();
    private Channel channel;
    private GenerationInquiry inquiry;
    private Promise<FolderFinding> result;
    private Future<?> requestTimer;
    private long heartbeatCount;
    private long warnedAtMs = Long.MIN_VALUE;

    /** {@code store}: read now; written to from {@link #startHeartbeats} on, on the loop. */
    PeerLink(Machine machine, PeersFile file, Store store) {
        this.machine = machine;
        this.file = file;
        this.codec = new PeerMessageCodec(file.cluster(), file.key());
        this.names = new ArrayList<>(file.peers().keySet());
        this.observations = new PeerObservations(store, names, nowMs());
    }

    private long nowMs() {
        return machine.clock().micros() / 1_000;
    }

    /** Listens for messages; done once it does. */
    ChannelFuture listen() {
        ChannelFuture bound = new Bootstrap()
                .group(machine.loop())
                .channel(NioDatagramChannel.class)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        onDatagram(ByteBufUtil.getBytes(packet.content()));
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        warn(cause.toString());
                    }
                })
                .bind(file.listen());
        channel = bound.channel();
        return bound;
    }

    /** Asks them all what they know of this relay; called from any thread, once it listens. */
    Future<FolderFinding> inquire(StoreFreshness own, long longest) {
        result = machine.loop().newPromise();
        machine.loop().execute(() -> {
            GenerationInquiry.Terms terms =
                    new GenerationInquiry.Terms(file.inquiryTimeoutMs(), file.heartbeatIntervalMs(), longest);
            inquiry = new GenerationInquiry(own, names.size(), terms, nowMs());
            requestTimer = machine.loop()
                    .scheduleAtFixedRate(this::sendRequests, 0, REQUEST_INTERVAL_MS, TimeUnit.MILLISECONDS);
        });
        return result;
    }

    private void sendRequests() {
        complete(inquiry.tick(nowMs()));
        if (!result.isDone()) {
            names.forEach(name -> send(name, new PeerMessage.WitnessRequest(file.name(), nonce)));
        }
    }

    private void complete(FolderFinding finding) {
        if (finding != null && result.trySuccess(finding)) {
            requestTimer.cancel(false);
        }
    }

    /** The number of the incarnation that begins; after {@link #inquire}. */
    long nextIncarnation() {
        return inquiry.nextIncarnation();
    }

    /** From now on it tells how far it has come, and keeps what it hears. On the loop. */
    void startHeartbeats(Supplier<StoreFreshness> freshness, Store store, Runnable onStaged) {
        observations.recordTo(store, onStaged);
        machine.loop()
                .scheduleAtFixedRate(
                        () -> {
                            PeerMessage heartbeat =
                                    new PeerMessage.Heartbeat(file.name(), freshness.get(), ++heartbeatCount);
                            names.forEach(name -> send(name, heartbeat));
                        },
                        0,
                        file.heartbeatIntervalMs(),
                        TimeUnit.MILLISECONDS);
    }

    private void send(String name, PeerMessage message) {
        // Failures are not looked at: whoever matters is asked or notified again.
        channel.writeAndFlush(new DatagramPacket(
                Unpooled.wrappedBuffer(codec.encode(message)), file.peers().get(name)));
    }

    private void onDatagram(byte[] bytes) {
        PeerMessage message;
        try {
            message = codec.decode(bytes);
        } catch (IOException e) {
            warn(e.getMessage());
            return;
        }
        int who = names.indexOf(message.from());
        if (who < 0) {
            warn("a note of relay '" + message.from() + "', which is no sibling in the file");
        } else if (message instanceof PeerMessage.Heartbeat heartbeat) {
            observations.onHeartbeat(heartbeat.from(), heartbeat.freshness(), heartbeat.sequence(), nowMs());
        } else if (message instanceof PeerMessage.WitnessRequest request) {
            WitnessReport report = observations.reportOn(request.from(), nowMs());
            send(request.from(), new PeerMessage.WitnessResponse(file.name(), request.nonce(), report));
        } else if (message instanceof PeerMessage.WitnessResponse response
                && response.nonce() == nonce
                && inquiry != null) {
            complete(inquiry.onReport(nowMs(), who, response.report()));
        }
    }

    private void warn(String what) {
        if (warnedAtMs == Long.MIN_VALUE || nowMs() - warnedAtMs >= WARN_INTERVAL_MS) {
            warnedAtMs = nowMs();
            LOG.warn("{} on {}: left out", what, file.listen());
        }
    }

    /** Where messages of the others come in. */
    SocketAddress address() {
        return channel.localAddress();
    }

    void close() {
        channel.close();
    }
}
