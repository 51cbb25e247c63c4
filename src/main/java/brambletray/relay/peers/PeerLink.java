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
 * The link to the siblings: asks them at the start, tells them how far this relay has come while it lives,
 * and answers those that ask. On the machine's event loop. Nothing that it hears is needed to go on: a lost
 * note makes a relay that starts ask again, and more careful at worst.
 */
final class PeerLink {
    private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);
    /** ms between two questions; and between two complaints about notes that are of no use. */
    private static final long ASK_EVERY = 100;

    private static final long COMPLAIN_EVERY = 10_000;

    private final Machine machine;
    private final PeersFile file;
    private final PeerMessageCodec codec;
    private final PeerObservations sightings;
    private final List<String> names;
    private final long nonce = new SecureRandom().nextLong();
    private Channel channel;
    private GenerationInquiry asking;
    private Promise<FolderFinding> answer;
    private Future<?> asks;
    private long beats;
    private long complainedAt = Long.MIN_VALUE;

    /** {@code store}: read now; written to from {@link #live} on, on the loop. */
    PeerLink(Machine machine, PeersFile file, Store store) {
        this.machine = machine;
        this.file = file;
        this.codec = new PeerMessageCodec(file.cluster(), file.key());
        this.names = new ArrayList<>(file.others().keySet());
        this.sightings = new PeerObservations(store, names, now());
    }

    private long now() {
        return machine.clock().micros() / 1_000;
    }

    /** Listens for notes; done once it does. */
    ChannelFuture listen() {
        ChannelFuture bound = new Bootstrap()
                .group(machine.loop())
                .channel(NioDatagramChannel.class)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        heard(ByteBufUtil.getBytes(packet.content()));
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        complain(cause.toString());
                    }
                })
                .bind(file.listen());
        channel = bound.channel();
        return bound;
    }

    /** Asks them all what they know of this relay; called from any thread, once it listens. */
    Future<FolderFinding> ask(StoreFreshness own, long longest) {
        answer = machine.loop().newPromise();
        machine.loop().execute(() -> {
            GenerationInquiry.Terms terms = new GenerationInquiry.Terms(file.askMs(), file.beatMs(), longest);
            asking = new GenerationInquiry(own, names.size(), terms, now());
            asks = machine.loop().scheduleAtFixedRate(this::askAgain, 0, ASK_EVERY, TimeUnit.MILLISECONDS);
        });
        return answer;
    }

    private void askAgain() {
        found(asking.due(now()));
        if (!answer.isDone()) {
            names.forEach(name -> send(name, new PeerMessage.Ask(file.name(), nonce)));
        }
    }

    private void found(FolderFinding finding) {
        if (finding != null && answer.trySuccess(finding)) {
            asks.cancel(false);
        }
    }

    /** The number of the life that begins; after {@link #ask}. */
    long nextLife() {
        return asking.nextLife();
    }

    /** From now on it tells how far it has come, and keeps what it hears. On the loop. */
    void live(Supplier<StoreFreshness> standing, Store store, Runnable staged) {
        sightings.keep(store, staged);
        machine.loop()
                .scheduleAtFixedRate(
                        () -> {
                            PeerMessage beat = new PeerMessage.Beat(file.name(), standing.get(), ++beats);
                            names.forEach(name -> send(name, beat));
                        },
                        0,
                        file.beatMs(),
                        TimeUnit.MILLISECONDS);
    }

    private void send(String name, PeerMessage note) {
        // Failures are not looked at: whoever matters is asked, or told, again.
        channel.writeAndFlush(new DatagramPacket(
                Unpooled.wrappedBuffer(codec.bytes(note)), file.others().get(name)));
    }

    private void heard(byte[] bytes) {
        PeerMessage note;
        try {
            note = codec.read(bytes);
        } catch (IOException e) {
            complain(e.getMessage());
            return;
        }
        int who = names.indexOf(note.from());
        if (who < 0) {
            complain("a note of relay '" + note.from() + "', which is no sibling in the file");
        } else if (note instanceof PeerMessage.Beat beat) {
            sightings.heard(beat.from(), beat.standing(), beat.beats(), now());
        } else if (note instanceof PeerMessage.Ask ask) {
            WitnessReport account = sightings.of(ask.from(), now());
            send(ask.from(), new PeerMessage.Tell(file.name(), ask.nonce(), account));
        } else if (note instanceof PeerMessage.Tell tell && tell.nonce() == nonce && asking != null) {
            found(asking.told(now(), who, tell.account()));
        }
    }

    private void complain(String what) {
        if (complainedAt == Long.MIN_VALUE || now() - complainedAt >= COMPLAIN_EVERY) {
            complainedAt = now();
            LOG.warn("{} on {}: left out", what, file.listen());
        }
    }

    /** Where notes of the others come in. */
    SocketAddress address() {
        return channel.localAddress();
    }

    void close() {
        channel.close();
    }
}
