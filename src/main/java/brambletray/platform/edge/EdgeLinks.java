package brambletray.platform.edge;

import brambletray.common.runtime.Machine;
import brambletray.platform.distribution.LinkIntroduction;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.failuredetection.Roster;
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
 * Links between edges. An edge dials a peer when it first sends to it; responses go back on the link on which the
 * request arrived. Links to peers that have left the roster are closed. Confined to the event loop.
 */
final class EdgeLinks {
    /** Time in ms for which a link must be down before its peer counts as unreachable. */
    private static final int UNREACHABLE_AFTER_MS = 120;

    /** Receives the frames of peers and the state of dialled links. */
    interface Listener {
        void onFrame(String peer, Object frame);

        /** A dialled link is up; frames sent before may be lost. */
        void onLinkUp(String peer);

        /** A dialled link is down; the peer may have ended. */
        void onLinkDown(String peer);
    }

    private static final class DialedLink {
        private Peer peer;
        private LinkDialer dialer;
        private long downSinceMs = Long.MIN_VALUE;
    }

    private final Machine machine;
    private final FrameCodec codec;
    private final LinkIntroduction self;
    private final Listener listener;
    private final Map<String, DialedLink> dialedLinks = new HashMap<>();
    private final Map<String, Link> acceptedLinks = new HashMap<>();
    private Roster roster = Roster.NONE;

    EdgeLinks(Machine machine, FrameCodec codec, Address bind, LinkIntroduction self, Listener listener) {
        this.machine = machine;
        this.codec = codec;
        this.self = self;
        this.listener = listener;
        new LinkListener(machine, codec, bind, new InboundHandler());
    }

    void onRoster(Roster next) {
        roster = next;
        for (Iterator<Map.Entry<String, DialedLink>> entries =
                        dialedLinks.entrySet().iterator();
                entries.hasNext(); ) {
            Map.Entry<String, DialedLink> entry = entries.next();
            Peer peer = next.find(entry.getKey());
            if (peer == null || !peer.address().equals(entry.getValue().peer.address())) {
                entries.remove();
                entry.getValue().dialer.close();
            } else if (peer.incarnation() != entry.getValue().peer.incarnation()) {
                entry.getValue().peer = peer;
                entry.getValue().dialer.dialNow();
            }
        }
    }

    /**
     * Sends to a peer of the roster; dials a connection if there is none yet (the message is then lost, and {@link
     * Listener#onLinkUp} tells when to repeat it).
     */
    boolean send(String name, Object frame) {
        DialedLink dialedLink = dialedLink(name);
        return dialedLink != null && dialedLink.dialer.send(frame);
    }

    private DialedLink dialedLink(String name) {
        DialedLink dialedLink = dialedLinks.get(name);
        if (dialedLink == null) {
            Peer peer = roster.find(name);
            if (peer == null) {
                return null;
            }
            DialedLink created = new DialedLink();
            created.peer = peer;
            created.downSinceMs = now();
            created.dialer = new LinkDialer(
                    machine, codec, Address.parse(peer.address()), new OutboundHandler(name, created), name.hashCode());
            dialedLinks.put(name, created);
            return created;
        }
        return dialedLink;
    }

    /** Whether the dialled link to this peer has been down for longer than the limit. */
    boolean isUnreachable(String name) {
        DialedLink dialedLink = dialedLinks.get(name);
        return dialedLink != null && !dialedLink.dialer.isUp() && now() - dialedLink.downSinceMs > UNREACHABLE_AFTER_MS;
    }

    /** Sends a response to a peer on the link that the peer has dialled. */
    boolean respond(String name, Object frame) {
        Link link = acceptedLinks.get(name);
        return link != null && link.send(frame);
    }

    private long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    private final class OutboundHandler implements LinkHandler {
        private final String name;
        private final DialedLink dialedLink;

        OutboundHandler(String name, DialedLink dialedLink) {
            this.name = name;
            this.dialedLink = dialedLink;
        }

        @Override
        public void onLinkUp(Link link) {
            link.send(self);
            listener.onLinkUp(name);
        }

        @Override
        public void onFrame(Link link, Object frame) {
            listener.onFrame(name, frame);
        }

        @Override
        public void onLinkDown(Link link, String reason) {
            dialedLink.downSinceMs = now();
            if (dialedLinks.get(name) == dialedLink) {
                listener.onLinkDown(name);
            }
        }
    }

    private final class InboundHandler implements LinkHandler {
        @Override
        public void onLinkUp(Link link) {}

        @Override
        public void onFrame(Link link, Object frame) {
            if (frame instanceof LinkIntroduction introduction) {
                link.tag(introduction.name());
                acceptedLinks.put(introduction.name(), link);
            } else if (link.tag() instanceof String name) {
                listener.onFrame(name, frame);
            } else {
                link.close("peer sent a frame before its introduction");
            }
        }

        @Override
        public void onLinkDown(Link link, String reason) {
            if (link.tag() instanceof String name) {
                acceptedLinks.remove(name, link);
            }
        }
    }
}
