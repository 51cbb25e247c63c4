package brambletray.platform.controlplane;

import brambletray.common.runtime.Machine;
import brambletray.platform.distribution.LinkIntroduction;
import brambletray.platform.replication.ReplicationMessage;
import brambletray.platform.settings.Address;
import brambletray.platform.transport.FrameCodec;
import brambletray.platform.transport.Link;
import brambletray.platform.transport.LinkDialer;
import brambletray.platform.transport.LinkHandler;
import brambletray.platform.transport.LinkListener;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * The links of one member: to the other members, which are known by their control-plane addresses, and from edges.
 * Messages are sent on links that this member has dialed, and received on those that others have dialed. For the
 * event loop only.
 */
final class PeerLinks {
    /** ms without a message after which a link to a member is closed. */
    private static final long IDLE_CLOSE_MS = 30_000;
    /** Members with a link at a time. */
    private static final int MAX_MEMBERS = 32;

    /** Receives what comes over the links of members, which are named by their control-plane addresses. */
    interface MemberReceiver {
        void onMemberMessage(String address, Object frame);

        /** The member's address refused, or ended, our link. */
        void onMemberDisconnected(String address);
    }

    /** Receives what comes over the links of edges. */
    interface EdgeReceiver {
        /** An edge has connected; its messages follow. */
        void onEdgeConnected(String name, Link link);

        void onEdgeMessage(String name, Link link, Object frame);

        void onEdgeDisconnected(String name, Link link);
    }

    private static final class MemberLink {
        private LinkDialer dialer;
        private long lastUsedAtMs;
    }

    private final Machine machine;
    private final FrameCodec codec;
    private final LinkIntroduction self;
    private final int port;
    private final MemberReceiver memberReceiver;
    private final EdgeReceiver edgeReceiver;
    private final Map<String, MemberLink> memberLinks = new HashMap<>();

    /** {@code port}: where members listen for links, on each machine the same. */
    PeerLinks(
            Machine machine,
            FrameCodec codec,
            Address bind,
            LinkIntroduction self,
            MemberReceiver memberReceiver,
            EdgeReceiver edgeReceiver) {
        this.machine = machine;
        this.codec = codec;
        this.self = self;
        this.port = bind.port();
        this.memberReceiver = memberReceiver;
        this.edgeReceiver = edgeReceiver;
        new LinkListener(machine, codec, bind, new InboundHandler());
    }

    void send(String address, Object frame) {
        MemberLink memberLink = memberLinks.get(address);
        if (memberLink == null) {
            if (memberLinks.size() >= MAX_MEMBERS) {
                return;
            }
            memberLink = new MemberLink();
            memberLink.dialer = new LinkDialer(
                    machine,
                    codec,
                    new Address(Address.parse(address).host(), port),
                    new OutboundHandler(address),
                    address.hashCode());
            memberLinks.put(address, memberLink);
        }
        memberLink.lastUsedAtMs = nowMs();
        if (frame instanceof ReplicationMessage.FetchChunkResponse) {
            // chunks of a state transfer never delay heartbeats, entries, acknowledgements and ballots
            memberLink.dialer.sendBulk(frame);
        } else {
            memberLink.dialer.send(frame);
        }
    }

    void tick(long nowMs) {
        for (Iterator<MemberLink> each = memberLinks.values().iterator(); each.hasNext(); ) {
            MemberLink memberLink = each.next();
            if (nowMs - memberLink.lastUsedAtMs > IDLE_CLOSE_MS) {
                each.remove();
                memberLink.dialer.close();
            }
        }
    }

    /**
     * A member has dialed this one: a message to it need not wait for a connection attempt that began while it was
     * away.
     */
    private void hurryDialing(String address) {
        MemberLink memberLink = memberLinks.get(address);
        if (memberLink != null && !memberLink.dialer.isUp()) {
            memberLink.dialer.dialNow();
        }
    }

    private long nowMs() {
        return machine.clock().nanos() / 1_000_000;
    }

    private final class OutboundHandler implements LinkHandler {
        private final String address;

        OutboundHandler(String address) {
            this.address = address;
        }

        @Override
        public void onLinkUp(Link link) {
            link.send(self);
        }

        @Override
        public void onFrame(Link link, Object frame) {
            memberReceiver.onMemberMessage(address, frame);
        }

        @Override
        public void onLinkDown(Link link, String why) {
            memberReceiver.onMemberDisconnected(address);
        }
    }

    private final class InboundHandler implements LinkHandler {
        @Override
        public void onLinkUp(Link link) {}

        @Override
        public void onFrame(Link link, Object frame) {
            if (link.tag() instanceof LinkIntroduction introduction) {
                if (introduction.isCoreMember()) {
                    memberReceiver.onMemberMessage(introduction.address(), frame);
                } else {
                    edgeReceiver.onEdgeMessage(introduction.name(), link, frame);
                }
            } else if (frame instanceof LinkIntroduction introduction) {
                link.tag(introduction);
                if (introduction.isCoreMember()) {
                    hurryDialing(introduction.address());
                } else {
                    edgeReceiver.onEdgeConnected(introduction.name(), link);
                }
            } else {
                link.close("message before the introduction");
            }
        }

        @Override
        public void onLinkDown(Link link, String why) {
            if (link.tag() instanceof LinkIntroduction introduction && !introduction.isCoreMember()) {
                edgeReceiver.onEdgeDisconnected(introduction.name(), link);
            }
        }
    }
}
