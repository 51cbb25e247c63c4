package brambletray.relay.fleet;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.stub.HostStub;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Processes of this build that are killed, stopped and cut off, and whose folders are lost, older or another's:
 * rule 2 by the partner's ledger. Nothing here waits for a time; what is awaited is a line, an answer or a
 * datagram.
 */
@Timeout(value = 240, unit = TimeUnit.SECONDS)
class ComingBackTest {
    private static final String[] NAMES = {"r0", "r1", "r2"};

    @TempDir
    Path folder;

    private final Map<String, RelayProcess> relays = new LinkedHashMap<>();
    private Links links;
    private HostStub host;

    @BeforeEach
    void begin() throws IOException {
        links = new Links(NAMES);
        host = new HostStub();
        Files.writeString(folder.resolve("key"), "a key of more than 16 bytes");
        Files.writeString(
                folder.resolve("hosts.csv"),
                "name,address,port,destination,rate\na,127.0.0.1," + host.port() + ",7,50\n");
    }

    @AfterEach
    void end() throws IOException {
        relays.values().forEach(RelayProcess::close);
        links.close();
        host.close();
    }

    private Path state(String name) {
        return folder.resolve("state-" + name);
    }

    private void configure(String name, String state, String more) throws IOException {
        StringBuilder siblings = new StringBuilder("cluster: test\nname: " + name
                + "\nlisten: 127.0.0.1:0\nkey_file: key\nbeat_ms: 50\n" + more + "siblings:\n");
        for (String other : NAMES) {
            if (!other.equals(name)) {
                siblings.append("  - {name: ")
                        .append(other)
                        .append(", address: '")
                        .append(links.address(name, other))
                        .append("'}\n");
            }
        }
        Files.writeString(folder.resolve("siblings-" + name + ".yaml"), siblings);
        Files.writeString(folder.resolve(name + ".yaml"), """
            listen: 127.0.0.1:0
            folder: %s
            inventory: hosts.csv
            outlasts: process
            limits: {tries: 5}
            %s
            classes:
              - {name: pay, effect: unsafe, limit_ms: 60000}
              - {name: bill, effect: keyed, limit_ms: 60000, window_ms: 60000}
              - {name: read, effect: safe, limit_ms: 60000}
            """.formatted(
                        state, more.contains("alone") ? "" : "siblings: siblings-" + name + ".yaml"));
    }

    /** Starts a process; notes for its name go to it from now on. */
    private RelayProcess begin(String name) throws Exception {
        RelayProcess relay = new RelayProcess(folder.resolve(name + ".yaml"));
        RelayProcess former = relays.put(name, relay);
        if (former != null) {
            former.close();
        }
        links.target(name, relay.siblingsPort());
        return relay;
    }

    private void beginAll() throws Exception {
        for (String name : NAMES) {
            configure(name, "state-" + name, "");
        }
        Map<String, RelayProcess> begun = new LinkedHashMap<>();
        for (String name : NAMES) {
            begun.put(name, new RelayProcess(folder.resolve(name + ".yaml")));
        }
        for (String name : NAMES) {
            links.target(name, begun.get(name).siblingsPort());
            relays.put(name, begun.get(name));
        }
        for (String name : NAMES) {
            relays.get(name).await("begins life");
        }
    }

    /** The fleet's first start asks for the longest time limit: nobody can tell it from one that lost all. */
    private void beginTrusting() throws Exception {
        for (String name : NAMES) {
            configure(name, "state-" + name, "unconfirmed: trust\n");
        }
        for (String name : NAMES) {
            begin(name);
        }
        for (String name : NAMES) {
            relays.get(name).await("serving on");
        }
        for (String name : NAMES) {
            configure(name, "state-" + name, "");
        }
    }

    private RelayProcess killAndBegin(String name) throws Exception {
        relays.get(name).kill();
        return begin(name);
    }

    /** What the others have last heard of it is no older than now. */
    private void heard(String name) throws InterruptedException {
        for (String other : NAMES) {
            if (!other.equals(name)) {
                // The first may have been under way.
                links.awaitPassed(name, other, 3);
            }
        }
    }

    private static void turnedAway(HttpResponse<String> answer) {
        assertEquals(503, answer.statusCode(), answer.body());
        assertTrue(answer.headers().firstValue("Retry-After").isPresent());
    }

    private void delivered(RelayProcess relay, String id, String messageClass) throws Exception {
        assertEquals(202, relay.post(id, messageClass, 7).statusCode());
        host.call().answer(HostStub.OK);
        relay.awaitAnswer(id, "delivered");
    }

    /** One call is out and not answered, another message waits behind it: a folder to be copied. */
    private HostStub.Call owedTwo(RelayProcess relay) throws Exception {
        assertEquals(202, relay.post("out", "pay", 7).statusCode());
        HostStub.Call out = host.call();
        assertEquals(202, relay.post("waits", "pay", 7).statusCode());
        relay.signal("STOP");
        RelayProcess.copy(state("r0"), folder.resolve("copy"));
        relay.signal("CONT");
        return out;
    }

    private void deliverBoth(RelayProcess relay, HostStub.Call out) throws Exception {
        out.answer(HostStub.OK);
        relay.awaitAnswer("out", "delivered");
        host.call().answer(HostStub.OK);
        relay.awaitAnswer("waits", "delivered");
    }

    /** Rule 2: a copy made while an unsafe message was owed comes back after it was delivered. */
    @Test
    void anOlderFolderHasNoSecondEffect() throws Exception {
        beginTrusting();
        RelayProcess relay = relays.get("r0");
        deliverBoth(relay, owedTwo(relay));
        heard("r0");
        relay.kill();
        RelayProcess.copy(folder.resolve("copy"), state("r0"));
        RelayProcess back = begin("r0");
        back.await("ROLLED BACK");
        back.await("2 messages that the folder says are owed count as perhaps sent");
        back.awaitAnswer("out", "given_up");
        back.awaitAnswer("waits", "given_up");
        turnedAway(back.post("waits", "pay", 7));
        turnedAway(back.post("k", "bill", 7));
        delivered(back, "s", "read");
        assertTrue(host.quiet(), "a second effect");
    }

    /** The same without siblings: what the test above guards against does happen. */
    @Test
    void withoutSiblingsAnOlderFolderHasASecondEffect() throws Exception {
        configure("r0", "state-r0", "# alone\n");
        RelayProcess relay = new RelayProcess(folder.resolve("r0.yaml"));
        relays.put("r0", relay);
        deliverBoth(relay, owedTwo(relay));
        relay.kill();
        RelayProcess.copy(folder.resolve("copy"), state("r0"));
        RelayProcess back = new RelayProcess(folder.resolve("r0.yaml"));
        relays.put("again", back);
        assertEquals("waits", host.call().header("X-Request-ID"));
        assertFalse(back.said("siblings"));
    }

    @Test
    void aLostFolderTurnsAwaySecondTries() throws Exception {
        beginTrusting();
        delivered(relays.get("r0"), "m", "pay");
        heard("r0");
        relays.get("r0").kill();
        RelayProcess.empty(state("r0"));
        RelayProcess back = begin("r0");
        back.await("LOST; it is empty, and siblings saw life 1");
        back.await("begins life 2");
        turnedAway(back.post("m", "pay", 7));
        delivered(back, "s", "read");
        // Killed before its rest is over: its folder is the newest now, and what was forgotten still is.
        back = killAndBegin("r0");
        back.await("folder: the newest that siblings know of");
        back.await("the life before was killed while it came back");
        turnedAway(back.post("m", "pay", 7));
        assertTrue(host.quiet(), "a second effect");
    }

    /** When the rest is over all is taken on, and the next start has none. */
    @Test
    void theRestEndsAndStaysEnded() throws Exception {
        beginTrusting();
        heard("r0");
        relays.get("r0").kill();
        RelayProcess.empty(state("r0"));
        Path config = folder.resolve("r0.yaml");
        Files.writeString(config, Files.readString(config).replace("limit_ms: 60000", "limit_ms: 2000"));
        RelayProcess back = begin("r0");
        back.await("LOST");
        back.await("all messages are taken on again");
        delivered(back, "m", "pay");
        heard("r0");
        back = killAndBegin("r0");
        back.await("folder: the newest that siblings know of");
        delivered(back, "n", "pay");
    }

    /** Nobody remembers anybody: a first start and a loss of all look the same, and both are careful. */
    @Test
    void allFoldersLostTurnAwaySecondTries() throws Exception {
        beginTrusting();
        delivered(relays.get("r0"), "m", "pay");
        for (String name : NAMES) {
            relays.get(name).kill();
            RelayProcess.empty(state(name));
        }
        beginAll();
        for (String name : NAMES) {
            relays.get(name).await("folder: empty, and too few siblings answered");
            turnedAway(relays.get(name).post("m", "pay", 7));
        }
        delivered(relays.get("r1"), "s", "read");
        assertTrue(host.quiet(), "a second effect");
    }

    /** All killed in one instant, one of them with its folder of a life before: the others have noted it. */
    @Test
    void aFleetThatComesBackWholeRemembers() throws Exception {
        beginTrusting();
        relays.get("r0").signal("STOP");
        RelayProcess.copy(state("r0"), folder.resolve("copy"));
        relays.get("r0").signal("CONT");
        killAndBegin("r0").await("folder: the newest that siblings know of");
        relays.get("r0").await("serving on");
        heard("r0");
        for (String name : NAMES) {
            relays.get(name).kill();
        }
        RelayProcess.copy(folder.resolve("copy"), state("r0"));
        beginAll();
        relays.get("r0").await("ROLLED BACK; siblings saw life 2");
        relays.get("r0").await("begins life 3");
        relays.get("r1").await("folder: the newest that siblings know of");
        relays.get("r2").await("folder: the newest that siblings know of");
    }

    @Test
    void foldersThatWereSwappedAreRefused() throws Exception {
        beginTrusting();
        for (String name : NAMES) {
            relays.get(name).kill();
        }
        RelayProcess.copy(state("r0"), folder.resolve("copy"));
        RelayProcess.copy(state("r1"), state("r0"));
        RelayProcess.copy(folder.resolve("copy"), state("r1"));
        for (String name : new String[] {"r0", "r1"}) {
            RelayProcess relay = new RelayProcess(folder.resolve(name + ".yaml"));
            relays.put(name, relay);
            assertEquals(2, relay.exit());
            relay.await("the folder is relay 'r" + (name.equals("r0") ? 1 : 0) + "'s, and this is relay '" + name);
        }
    }

    /** A second process of one name, on a copy of the folder, while the first lives on. */
    @Test
    void aSecondProcessOfOneNameIsRefused() throws Exception {
        beginTrusting();
        relays.get("r0").signal("STOP");
        RelayProcess.copy(state("r0"), folder.resolve("state-twin"));
        relays.get("r0").signal("CONT");
        configure("r0", "state-twin", "ask_ms: 10000\n");
        RelayProcess twin = new RelayProcess(folder.resolve("r0.yaml"));
        relays.put("twin", twin);
        links.target("r0", twin.siblingsPort());
        assertEquals(2, twin.exit());
        twin.await("another process lives as relay 'r0', in life 1");
        delivered(relays.get("r0"), "m", "pay");
    }

    /** Cut off from all, or all but one of them stopped: its folder may be an older one, for all it knows. */
    @Test
    void aRelayThatNobodyAnswersDoesNotTrustItsFolder() throws Exception {
        beginTrusting();
        RelayProcess relay = relays.get("r0");
        owedTwo(relay);
        links.around("r0", Links.Fault.CUT);
        RelayProcess back = killAndBegin("r0");
        back.await("folder: there, and too few siblings answered");
        back.awaitAnswer("waits", "given_up");
        assertTrue(host.quiet(), "sent, though it may have been sent before");
        turnedAway(back.post("n", "pay", 7));
        delivered(back, "s", "read");
    }

    /** One sibling is stopped, the other's answers come doubled and out of order: a majority is enough. */
    @Test
    void aMajorityIsEnoughAndAStoppedSiblingComesBackUnharmed() throws Exception {
        beginTrusting();
        delivered(relays.get("r0"), "m", "pay");
        relays.get("r1").signal("STOP");
        links.fault("r2", "r0", Links.Fault.SWAPPED);
        links.fault("r0", "r2", Links.Fault.TWICE);
        RelayProcess back = killAndBegin("r0");
        back.await("folder: the newest that siblings know of");
        delivered(back, "n", "pay");
        relays.get("r1").signal("CONT");
        links.fault("r2", "r0", Links.Fault.NONE);
        delivered(relays.get("r1"), "o", "pay");
        RelayProcess third = killAndBegin("r0");
        third.await("folder: the newest that siblings know of");
        third.await("begins life 3");
    }

    /** Notes that were changed on the way count for nothing, and are told of. */
    @Test
    void forgedNotesMakeNobodyTrust() throws Exception {
        beginTrusting();
        links.fault("r1", "r0", Links.Fault.FORGED);
        links.fault("r2", "r0", Links.Fault.FORGED);
        RelayProcess back = killAndBegin("r0");
        back.await("a note whose keyed hash does not fit");
        back.await("folder: there, and too few siblings answered");
    }

    /** Five kills in a row, each as soon as it serves. */
    @Test
    void fiveKillsInARowAreFiveLives() throws Exception {
        beginTrusting();
        delivered(relays.get("r0"), "m", "pay");
        for (int life = 2; life <= 6; life++) {
            heard("r0");
            RelayProcess back = killAndBegin("r0");
            back.await("folder: the newest that siblings know of");
            back.await("begins life " + life);
            delivered(back, "m" + life, "pay");
        }
    }
}
