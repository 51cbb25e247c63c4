package brambletray.tray.lap;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.tray.berth.Berth;
import brambletray.tray.creed.Creed;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What the stand-in tells its processes is what they read. */
class SiteTest {
    @TempDir
    Path dir;

    private Berth berth(Site site, String name, boolean initial) throws IOException {
        return Berth.read(Files.writeString(dir.resolve(name + ".conf"), site.settings(site.find(name), initial)));
    }

    @Test
    void settingsOfBothPrograms() throws IOException {
        Site site = Site.of(5, 2, new Site.Ports(8_001, 8_002, 8_003, 8_004, 8_005, 8_006), dir);
        Berth keep = berth(site, "keep-4", true);
        assertEquals("127.0.0.5:8003", keep.control().toString());
        assertEquals(
                "[127.0.0.2:8003, 127.0.0.3:8003, 127.0.0.4:8003]", keep.seeds().toString());
        assertEquals(2, keep.machineLosses());
        assertEquals("127.0.0.1:8005", keep.platform().address().toString());
        assertTrue(keep.initialStart() && keep.lossCounted() && keep.dataDir().isAbsolute());
        Berth carry = berth(site, "carry-2", false);
        assertEquals(
                "127.0.0.8:8001 127.0.0.8:8002 west", carry.frontEnd() + " " + carry.readiness() + ' ' + carry.zone());
        assertEquals(8_004, carry.innerLow());
        assertEquals(2, carry.zones().size());
        assertTrue(!carry.initialStart() && carry.dataDir() == null);
    }

    @Test
    void theConfigurationIsValid() {
        Creed creed = Sample.creed();
        assertEquals(1, creed.revision());
        assertEquals(12, creed.services().size());
        assertEquals(14, creed.routes().size());
        assertNotNull(creed.match(Sample.HOST, "/pay/2/x"));
    }

    @Test
    void aFolderWithSomethingInItIsLeftAlone() throws IOException {
        Files.writeString(dir.resolve("mine"), "x");
        assertTrue(assertThrows(LapFault.class, () -> Folders.dir(dir))
                .getMessage()
                .contains("expected a new or empty folder"));
    }

    @ParameterizedTest
    @CsvSource({
        "0, 3, 20, 40, '', --cores: expected a number from 1 to 9",
        "3, 17, 20, 40, '', --edges: expected",
        "3, 3, 0, 40, '', --seconds: expected",
        "3, 3, 20, 5000, '', --rate: expected",
        "3, 3, 20, 40, carry-4@1, expected keep-1 to keep-3",
        "3, 3, 20, 40, keep-1@20, expected a second from 0 to 19"
    })
    void plansHaveBounds(int cores, int edges, int seconds, int rate, String kill, String expected) {
        List<Plan.Kill> kills = kill.isEmpty()
                ? List.of()
                : List.of(new Plan.Kill(kill.split("@")[0], Integer.parseInt(kill.split("@")[1])));
        String message = assertThrows(LapFault.class, () -> new Plan(cores, edges, seconds, rate, kills, null))
                .getMessage();
        assertTrue(message.contains(expected), message);
    }
}
