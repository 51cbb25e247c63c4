package brambletray.relay.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Datagrams between processes go by way of here: one port for each link and direction, each with its fault. */
final class Links implements AutoCloseable {
    /** What happens to a datagram of one link. */
    enum Fault {
        NONE,
        CUT,
        TWICE,
        /** Each goes after the one that comes behind it. */
        SWAPPED,
        /** One bit is changed. */
        FORGED
    }

    private static final class Link {
        final DatagramChannel in;
        volatile Fault fault = Fault.NONE;
        long passed;
        byte[] kept;

        Link(DatagramChannel in) {
            this.in = in;
        }
    }

    private final Selector selector = Selector.open();
    private final Map<String, Link> links = new HashMap<>();
    private final Map<String, InetSocketAddress> targets = new ConcurrentHashMap<>();
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition moved = lock.newCondition();
    private final DatagramChannel out = DatagramChannel.open();

    /** Links between all of these, in both directions. */
    Links(String... names) throws IOException {
        for (String from : names) {
            for (String to : names) {
                if (!from.equals(to)) {
                    DatagramChannel in =
                            DatagramChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                    in.configureBlocking(false);
                    in.register(selector, SelectionKey.OP_READ, to);
                    links.put(from + ">" + to, new Link(in));
                    in.keyFor(selector).attach(from + ">" + to);
                }
            }
        }
        Thread thread = new Thread(this::carry, "links");
        thread.setDaemon(true);
        thread.start();
    }

    /** Where {@code from} sends what is for {@code to}. */
    String address(String from, String to) throws IOException {
        InetSocketAddress at = (InetSocketAddress) links.get(from + ">" + to).in.getLocalAddress();
        return "127.0.0.1:" + at.getPort();
    }

    /** Where a process listens now. */
    void target(String to, int port) {
        targets.put(to, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    void fault(String from, String to, Fault fault) {
        links.get(from + ">" + to).fault = fault;
    }

    /** The same on every link from and to this one. */
    void around(String name, Fault fault) {
        links.forEach((link, l) -> {
            if (link.startsWith(name + ">") || link.endsWith(">" + name)) {
                l.fault = fault;
            }
        });
    }

    /** Waits until so many datagrams more have gone on. */
    void awaitPassed(String from, String to, int many) throws InterruptedException {
        Link link = links.get(from + ">" + to);
        lock.lock();
        try {
            long until = link.passed + many;
            while (link.passed < until) {
                if (!moved.await(RelayProcess.PATIENCE_S, TimeUnit.SECONDS)) {
                    throw new AssertionError("nothing from " + from + " to " + to);
                }
            }
        } finally {
            lock.unlock();
        }
    }

    private void carry() {
        ByteBuffer bytes = ByteBuffer.allocate(2_048);
        try {
            while (selector.isOpen()) {
                selector.select();
                for (SelectionKey key : selector.selectedKeys()) {
                    String name = (String) key.attachment();
                    while (((DatagramChannel) key.channel()).receive(bytes.clear()) != null) {
                        byte[] datagram = new byte[bytes.flip().remaining()];
                        bytes.get(datagram);
                        carry(links.get(name), name.substring(name.indexOf('>') + 1), datagram);
                    }
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException | RuntimeException e) {
            // The test has ended.
        }
    }

    private void carry(Link link, String to, byte[] datagram) {
        switch (link.fault) {
            case CUT -> {}
            case TWICE -> {
                send(link, to, datagram);
                send(link, to, datagram);
            }
            case SWAPPED -> {
                if (link.kept != null) {
                    send(link, to, datagram);
                    send(link, to, link.kept);
                }
                link.kept = link.kept == null ? datagram : null;
            }
            case FORGED -> {
                datagram[datagram.length / 2] ^= 1;
                send(link, to, datagram);
            }
            default -> send(link, to, datagram);
        }
    }

    private void send(Link link, String to, byte[] datagram) {
        InetSocketAddress target = targets.get(to);
        if (target == null) {
            return;
        }
        try {
            out.send(ByteBuffer.wrap(datagram), target);
        } catch (IOException e) {
            // Nobody listens there: as a network does, it says nothing.
        }
        lock.lock();
        try {
            link.passed++;
            moved.signalAll();
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() throws IOException {
        selector.close();
        for (Link link : links.values()) {
            link.in.close();
        }
        out.close();
    }
}
