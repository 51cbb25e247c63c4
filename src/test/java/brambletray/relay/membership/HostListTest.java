package brambletray.relay.membership;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.control.Relay;
import brambletray.relay.core.Host;
import brambletray.relay.stub.PlatformStub;
import brambletray.relay.wire.Wire;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Discovery's list, as the module is told it. */
class HostListTest {
    private static Relay.EndpointsListed update(HostList list, String text) throws Wire.Malformed {
        return list.update(Wire.decode(text));
    }

    private static HostList list() {
        return new HostList(List.of("a", "b"), List.of("m1", "m2"));
    }

    /** Guards decisions that relays must take alike: a host's number is the same whatever came before it. */
    @Test
    void aHostHasOneNumberAtEveryRelay() throws Wire.Malformed {
        String one = PlatformStub.host("s-1", 80, 7, "ready");
        String two = PlatformStub.host("s-2", 80, 7, "ready");
        HostList first = list();
        Relay.EndpointsListed listed = update(first, PlatformStub.list(1, true, one, two));
        Relay.EndpointsListed other = update(list(), PlatformStub.list(1, true, two, one));
        assertEquals(listed.endpoints().get(0), other.endpoints().get(1));
        assertEquals(listed.endpoints().get(1), other.endpoints().get(0));
        assertEquals(
                new Relay.Endpoint(listed.endpoints().get(0).id(), 0, 1, 7, Relay.Listing.READY, 50),
                listed.endpoints().get(0));
        assertTrue(
                listed.endpoints().get(0).id() >= 0 && listed.endpoints().get(0).id() < 1L << 32);
    }

    /** "plumless" and "buckeroo" have one CRC-32: they must still be two hosts. */
    @Test
    void namesThatCollideGetNumbersOfTheirOwn() throws Wire.Malformed {
        Relay.EndpointsListed listed = update(
                list(),
                PlatformStub.list(
                        1,
                        true,
                        PlatformStub.host("plumless", 80, 7, "ready"),
                        PlatformStub.host("buckeroo", 81, 7, "ready")));
        assertNotEquals(
                listed.endpoints().get(0).id(), listed.endpoints().get(1).id());
    }

    @Test
    void aWholeListLeavesOutWhatIsGoneAndABadEntrySpoilsNoOther() throws Wire.Malformed {
        HostList list = list();
        long gone = update(list, PlatformStub.list(1, true, PlatformStub.host("s-1", 80, 7, "ready")))
                .endpoints()
                .get(0)
                .id();
        Relay.EndpointsListed next = update(
                list,
                PlatformStub.list(
                        2,
                        true,
                        PlatformStub.host("s-2", 80, 7, "ready"),
                        PlatformStub.host("s-3", 80, 7, "ready").replace("\"m2\"", "\"m9\"")));
        assertEquals(1, next.endpoints().size());
        assertFalse(list.host(gone).ready);
        assertTrue(list.hasDestination(7), "a destination stays known while its hosts are gone");
        assertEquals(2, list.version());
    }

    /** Guards memory on a day on which hosts are replaced on and on; a name that comes back keeps its number. */
    @Test
    void aHostThatIsGoneCanBeForgotten() throws Wire.Malformed {
        HostList list = list();
        long number = update(list, PlatformStub.list(1, true, PlatformStub.host("s-1", 80, 7, "ready")))
                .endpoints()
                .get(0)
                .id();
        Host first = list.host(number);
        update(list, PlatformStub.list(2, true, PlatformStub.host("s-2", 80, 7, "ready")));
        assertTrue(first.gone);
        list.forget(first);
        assertEquals(1, list.hosts().size());
        assertNull(list.host(number));
        update(list, PlatformStub.list(3, false, PlatformStub.host("s-1", 81, 7, "ready")));
        assertEquals("s-1", list.host(number).name);
        assertNotSame(first, list.host(number));
        assertFalse(list.host(number).gone);
    }
}
