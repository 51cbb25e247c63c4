package brambletray.relay.siblings;

import brambletray.common.runtime.Machine;
import brambletray.relay.recovery.Account;
import brambletray.relay.recovery.Asking;
import brambletray.relay.recovery.Finding;
import brambletray.relay.recovery.Standing;
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
final class Siblings {
    private static final Logger LOG = LoggerFactory.getLogger(Siblings.class);
    /** ms between two questions; and between two complaints about notes that are of no use. */
    private static final long ASK_EVERY = 100;

    private static final long COMPLAIN_EVERY = 10_000;

    private final Machine machine;
    private final SiblingsFile file;
    private final NoteCodec codec;
    private final Sightings sightings;
    private final List<String> names;
    private final long nonce = new SecureRandom().nextLong();
    private Channel channel;
    private Asking asking;
    private Promise<Finding> answer;
    private Future<?> asks;
    private long beats;
    private long complainedAt = Long.MIN_VALUE;

    /** {@code store}: read now; written to from {@link #live} on, on the loop. */
    Siblings(Machine machine, SiblingsFile file, Store store) {
        this.machine = machine;
        this.file = file;
        this.codec = new NoteCodec(file.cluster(), file.key());
        this.names = new ArrayList<>(file.others().keySet());
        this.sightings = new Sightings(store, names, now());
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
    Future<Finding> ask(Standing own, long longest) {
        answer = machine.loop().newPromise();
        machine.loop().execute(() -> {
            Asking.Terms terms = new Asking.Terms(file.askMs(), file.beatMs(), longest);
            asking = new Asking(own, names.size(), terms, now());
            asks = machine.loop().scheduleAtFixedRate(this::askAgain, 0, ASK_EVERY, TimeUnit.MILLISECONDS);
        });
        return answer;
    }

    private void askAgain() {
        found(asking.due(now()));
        if (!answer.isDone()) {
            names.forEach(name -> send(name, new Note.Ask(file.name(), nonce)));
        }
    }

    private void found(Finding finding) {
        if (finding != null && answer.trySuccess(finding)) {
            asks.cancel(false);
        }
    }

    /** The number of the life that begins; after {@link #ask}. */
    long nextLife() {
        return asking.nextLife();
    }

    /** From now on it tells how far it has come, and keeps what it hears. On the loop. */
    void live(Supplier<Standing> standing, Store store, Runnable staged) {
        sightings.keep(store, staged);
        machine.loop()
                .scheduleAtFixedRate(
                        () -> {
                            Note beat = new Note.Beat(file.name(), standing.get(), ++beats);
                            names.forEach(name -> send(name, beat));
                        },
                        0,
                        file.beatMs(),
                        TimeUnit.MILLISECONDS);
    }

    private void send(String name, Note note) {
        // Failures are not looked at: whoever matters is asked, or told, again.
        channel.writeAndFlush(new DatagramPacket(
                Unpooled.wrappedBuffer(codec.bytes(note)), file.others().get(name)));
    }

    private void heard(byte[] bytes) {
        Note note;
        try {
            note = codec.read(bytes);
        } catch (IOException e) {
            complain(e.getMessage());
            return;
        }
        int who = names.indexOf(note.from());
        if (who < 0) {
            complain("a note of relay '" + note.from() + "', which is no sibling in the file");
        } else if (note instanceof Note.Beat beat) {
            sightings.heard(beat.from(), beat.standing(), beat.beats(), now());
        } else if (note instanceof Note.Ask ask) {
            Account account = sightings.of(ask.from(), now());
            send(ask.from(), new Note.Tell(file.name(), ask.nonce(), account));
        } else if (note instanceof Note.Tell tell && tell.nonce() == nonce && asking != null) {
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
