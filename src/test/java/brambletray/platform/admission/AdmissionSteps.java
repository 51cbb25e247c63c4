package brambletray.platform.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;

/** The words of this plane's features. */
public class AdmissionSteps {
    private ServiceSpec spec;
    private String root = "east";
    private AdmissionParameters laws = AdmissionParameters.of(0.2, 12, 10_000, 1);
    private SimulatedZones town;

    @Given("a service of {int} MB, {int} at once, {int} ms to start, its target {int} ms")
    public void service(int memoryMb, int most, int bootMs, int targetMs) {
        spec = new ServiceSpec("s", memoryMb, bootMs, most, targetMs);
    }

    @Given("its root seat is in zone {word}")
    public void root(String zone) {
        root = zone;
    }

    @Given("a zone pays for a seat of its own from {int} requests a second on")
    public void pays(int perS) {
        laws = laws.withCrossZonePrice(spec.memoryMb() / 1024.0 / perS);
    }

    @Given("a slack of {int} further tries, and none for each request")
    public void slack(int tries) {
        laws = AdmissionParameters.of(0, 2 * tries, 10_000, 1);
    }

    @Then("it goes")
    public void goes(String drawing) {
        new Timeline(spec, laws, root).play(drawing);
    }

    @Given("a town of {int} services like it in {int} zone(s)")
    public void town(int services, int zones) {
        List<String> names = List.of("east", "west", "north").subList(0, zones);
        town = new SimulatedZones(7, names, 1, laws);
        for (int i = 0; i < services; i++) {
            town.add(new ServiceSpec(
                    "rare" + i, spec.memoryMb(), spec.bootMs(), spec.maxConcurrency(), spec.targetMs()));
        }
    }

    @When("each of them is called {int} times within a second, {int} ms of work each")
    public void called(int times, int workMs) {
        town.runUntil(1000);
        for (String service : town.specs.keySet()) {
            for (int i = 0; i < times; i++) {
                SimulatedZones.Kind kind =
                        new SimulatedZones.Kind(service, 2, spec.targetMs(), 8000, 1, 0.3, workMs, 0);
                town.at(1000 + town.random.nextInt(1000), () -> town.request(kind, "east"));
            }
        }
        town.runUntil(12_000);
    }

    @Then("all are served, {int} in a hundred of them in time, by {int} starts at most")
    public void served(int inTime, int starts) {
        assertEquals(0, town.unserved, town.figures(1, 1, 1));
        assertEquals(0, town.turnedAway);
        assertTrue(town.inTime * 100 >= inTime * town.requests, town.figures(1, 1, 1));
        assertTrue(town.starts <= starts, town.figures(1, 1, 1));
    }
}
