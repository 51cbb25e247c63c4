package brambletray.platform.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.election.LeaseHolder;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.provisioning.InstanceInfo;
import brambletray.platform.quota.TenantUsage;
import brambletray.platform.replication.Member;
import brambletray.platform.replication.ReplicaRole;
import brambletray.platform.replication.ReplicaStatus;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What operators are shown, call by call, byte by byte. */
class OperatorViewsTest {
    private static final Member ONE = new Member("10.0.0.1:90", "core-\"1\"", 0xa1);
    private static final Member TWO = new Member("10.0.0.2:90", "core-2", 0xa2, "north");

    private final CallRouter<ControlPlaneServer.CallHandler> table = new CallRouter<>();
    private LeaseHolder coordinator;
    private boolean here;
    private List<String> half = List.of();
    private long now = 1_000;
    private int status;
    private String body;
    private Map<String, String> headers;

    private final OperatorViews views = new OperatorViews(new OperatorViews.Source() {
        @Override
        public ReplicaStatus status() {
            return new ReplicaStatus(
                    ReplicaRole.SUSPENDED, ONE, 7, 6, List.of(TWO, ONE), TWO, false, true, false, 12, 11, true);
        }

        @Override
        public List<String> zonesHoldingHalf() {
            return half;
        }

        @Override
        public long revision() {
            return 9;
        }

        @Override
        public LeaseHolder coordinator() {
            return coordinator;
        }

        @Override
        public OperatorViews.CoordinatorView coordinatorView() {
            return here ? new Known() : null;
        }

        @Override
        public long nowMs() {
            return now;
        }
    });

    private static final class Known implements OperatorViews.CoordinatorView {
        @Override
        public Roster roster() {
            return new Roster(
                    70,
                    3,
                    List.of(
                            new Peer("edge-1", "north", "10.0.1.1:91", 0xb1, Peer.ACTIVE),
                            new Peer("edge-2", "south", "10.0.1.2:91", 0xb2, Peer.LEAVING)));
        }

        @Override
        public long servedRevision(String edge) {
            return edge.equals("edge-1") ? 9 : -1;
        }

        @Override
        public List<InstanceInfo> instances(String service) {
            return List.of(new InstanceInfo(
                    "i-1",
                    service == null ? "any" : service,
                    "10.0.2.1:80",
                    "north",
                    "south",
                    "w-1",
                    "n",
                    InstanceInfo.UP,
                    1_500));
        }

        @Override
        public int instanceCount() {
            return 4;
        }

        @Override
        public List<TenantUsage> tenantUsages() {
            return List.of(new TenantUsage("a", 50, 30, 34, -2.5, 8, 100, 7, 3, 1));
        }
    }

    private void get(String path) {
        CallRouter.Match<ControlPlaneServer.CallHandler> found = table.find("GET", path);
        found.handler()
                .handle(
                        new ControlCall("GET", path, null, new byte[0], (given, json, more) -> {
                            status = given;
                            body = json == null ? null : new String(json, StandardCharsets.UTF_8);
                            headers = more;
                        }),
                        found.wildcard());
    }

    OperatorViewsTest() {
        views.register(table);
    }

    @Test
    void aMemberSaysWhereItStands() {
        get("/brambletray/system/views");
        assertEquals(200, status);
        assertEquals(
                "{\"node\":\"core-\\\"1\\\"\",\"address\":\"10.0.0.1:90\",\"life\":\"a1\",\"standing\":\"stopped\",\"view\":7,\"in-force\":true,"
                        + "\"settled\":false,\"leader\":\"core-2\",\"leading\":false,\"commit\":12,\"delivered\":11,\"ill\":true,\"revision\":9,\"zones-holding-half\":null,\"members\":["
                        + "{\"name\":\"core-2\",\"address\":\"10.0.0.2:90\",\"life\":\"a2\",\"zone\":\"north\"},"
                        + "{\"name\":\"core-\\\"1\\\"\",\"address\":\"10.0.0.1:90\",\"life\":\"a1\",\"zone\":\"\"}]}",
                body);
    }

    @Test
    void theCoordinatorSaysWhyATenantIsRefused() {
        here = true;
        get("/brambletray/system/tenants");
        assertEquals(
                "{\"node\":\"core-\\\"1\\\"\",\"tenants\":["
                        + "{\"name\":\"a\",\"state\":\"in-debt\",\"rate-per-s\":50,\"burst-size\":30,"
                        + "\"capacity\":34,\"tokens\":-3,\"run-ahead\":8,\"granted\":100,\"refused\":7,"
                        + "\"without-right\":3,\"returned\":1}]}",
                body);
    }

    @Test
    void zonesThatHoldHalfOfTheViewAreShown() {
        half = List.of("north", "south");
        get("/brambletray/system/views");
        assertTrue(body.contains("\"zones-holding-half\":\"north south\""), body);
    }

    @Test
    void theCoordinatorIsKnownSinceItsTermWasSeen() {
        get("/brambletray/system/duties");
        assertTrue(
                body.contains(
                        "{\"duty\":\"helm\",\"holder\":null,\"address\":null,\"term\":0,\"since-ms\":0,\"here\":false}"),
                body);
        coordinator = new LeaseHolder(70, TWO);
        now = 2_000;
        views.tick();
        now = 5_500;
        views.tick();
        get("/brambletray/system/duties");
        assertTrue(
                body.contains(
                        "{\"duty\":\"helm\",\"holder\":\"core-2\",\"address\":\"10.0.0.2:90\",\"term\":70,\"since-ms\":3500,"
                                + "\"here\":false}"),
                body);
    }

    @Test
    void whatOnlyTheCoordinatorKnowsIsAskedThere() {
        get("/brambletray/system/hosts/tea");
        assertEquals(503, status);
        assertTrue(body.contains("controlplane.no-helm"), body);
        coordinator = new LeaseHolder(70, TWO);
        get("/brambletray/system/hosts/tea");
        assertEquals(307, status);
        assertEquals("http://10.0.0.2:90/brambletray/system/hosts/tea", headers.get("Location"));
        coordinator = new LeaseHolder(70, ONE);
        get("/brambletray/system/edges");
        assertEquals(503, status, "this member was just elected and has no book yet: no call is sent round in circles");
    }

    @Test
    void theCoordinatorShowsEdgesAndHosts() {
        here = true;
        get("/brambletray/system/edges");
        assertEquals(
                "{\"node\":\"core-\\\"1\\\"\",\"term\":70,\"number\":3,\"revision\":9,\"edges\":[{\"name\":\"edge-1\",\"zone\":\"north\","
                        + "\"address\":\"10.0.1.1:91\",\"life\":\"b1\",\"state\":\"in\",\"linked\":true,\"revision\":9},{\"name\":\"edge-2\",\"zone\":\"south\","
                        + "\"address\":\"10.0.1.2:91\",\"life\":\"b2\",\"state\":\"leaving\",\"linked\":false,\"revision\":0}]}",
                body);
        get("/brambletray/system/hosts/tea");
        assertEquals(
                "{\"node\":\"core-\\\"1\\\"\",\"known\":4,\"hosts\":[{\"id\":\"i-1\",\"service\":\"tea\",\"address\":\"10.0.2.1:80\","
                        + "\"zone\":\"north\",\"seat\":\"south\",\"worker\":\"w-1\",\"state\":\"up\",\"age-ms\":1500}]}",
                body);
        get("/brambletray/system/hosts");
        assertTrue(body.contains("\"service\":\"any\""), body);
    }
}
