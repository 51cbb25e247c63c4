package brambletray.platform.localsystem;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.Configuration;
import brambletray.platform.settings.NodeSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What the stand-in tells its processes is what they read. */
class LocalSiteTest {
    @TempDir
    Path dir;

    private NodeSettings nodeSettings(LocalSite site, String name, boolean initial) throws IOException {
        return NodeSettings.read(
                Files.writeString(dir.resolve(name + ".conf"), site.settings(site.find(name), initial)));
    }

    @Test
    void settingsOfBothPrograms() throws IOException {
        LocalSite site = LocalSite.of(5, 2, new LocalSite.Ports(8_001, 8_002, 8_003, 8_004, 8_005, 8_006), dir);
        NodeSettings keep = nodeSettings(site, "controlplane-4", true);
        assertEquals("127.0.0.5:8003", keep.controlPlane().toString());
        assertEquals(
                "[127.0.0.2:8003, 127.0.0.3:8003, 127.0.0.4:8003]", keep.seeds().toString());
        assertEquals(2, keep.machineLosses());
        assertEquals("127.0.0.1:8005", keep.cloudApi().address().toString());
        assertTrue(keep.initialStart() && keep.lossCounted() && keep.dataDir().isAbsolute());
        NodeSettings carry = nodeSettings(site, "edge-2", false);
        assertEquals(
                "127.0.0.8:8001 127.0.0.8:8002 west", carry.frontEnd() + " " + carry.readiness() + ' ' + carry.zone());
        assertEquals(8_004, carry.internalPortLow());
        assertEquals(2, carry.zones().size());
        assertTrue(!carry.initialStart() && carry.dataDir() == null);
    }

    @Test
    void theConfigurationIsValid() {
        Configuration configuration = SampleConfiguration.configuration();
        assertEquals(1, configuration.revision());
        assertEquals(12, configuration.services().size());
        assertEquals(14, configuration.routes().size());
        assertNotNull(configuration.match(SampleConfiguration.HOST, "/pay/2/x"));
    }

    @Test
    void aFolderWithSomethingInItIsLeftAlone() throws IOException {
        Files.writeString(dir.resolve("mine"), "x");
        assertTrue(assertThrows(LocalSystemException.class, () -> RunDirectory.dir(dir))
                .getMessage()
                .contains("expected a new or empty folder"));
    }

    @ParameterizedTest
    @CsvSource({
        "0, 3, 20, 40, '', --cores: expected a number from 1 to 9",
        "3, 17, 20, 40, '', --edges: expected",
        "3, 3, 0, 40, '', --seconds: expected",
        "3, 3, 20, 5000, '', --rate: expected",
        "3, 3, 20, 40, edge-4@1, expected controlplane-1 to controlplane-3",
        "3, 3, 20, 40, controlplane-1@20, expected a second from 0 to 19"
    })
    void plansHaveBounds(int cores, int edges, int seconds, int rate, String kill, String expected) {
        List<LocalRunPlan.Kill> kills = kill.isEmpty()
                ? List.of()
                : List.of(new LocalRunPlan.Kill(kill.split("@")[0], Integer.parseInt(kill.split("@")[1])));
        String message = assertThrows(
                        LocalSystemException.class,
                        () -> new LocalRunPlan(cores, edges, seconds, new LocalRunPlan.Load(rate, 60, 0), kills, null))
                .getMessage();
        assertTrue(message.contains(expected), message);
    }

    @ParameterizedTest
    @CsvSource({"0, 0, '--work: expected a number from 1 to'", "60, 101, '--leave: expected a number from 0 to 100'"})
    void loadsHaveBounds(int workMs, int leavePercent, String expected) {
        LocalRunPlan.Load load = new LocalRunPlan.Load(40, workMs, leavePercent);
        String message = assertThrows(
                        LocalSystemException.class, () -> new LocalRunPlan(3, 3, 20, load, List.of(), null))
                .getMessage();
        assertTrue(message.contains(expected), message);
    }
}
