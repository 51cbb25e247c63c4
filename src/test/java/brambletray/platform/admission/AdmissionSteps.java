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
    private String rootZone = "east";
    private AdmissionParameters parameters = AdmissionParameters.of(0.2, 12, 10_000, 1);
    private SimulatedZones zones;

    @Given("a service of {int} MB, {int} at once, {int} ms to start, its target {int} ms")
    public void service(int memoryMb, int most, int bootMs, int targetMs) {
        spec = new ServiceSpec("s", memoryMb, bootMs, most, targetMs);
    }

    @Given("its root seat is in zone {word}")
    public void setRootZone(String zone) {
        rootZone = zone;
    }

    @Given("a zone pays for a seat of its own from {int} requests a second on")
    public void breakEvenRate(int perS) {
        parameters = parameters.withCrossZonePrice(spec.memoryMb() / 1024.0 / perS);
    }

    @Given("a slack of {int} further tries, and none for each request")
    public void slack(int tries) {
        parameters = AdmissionParameters.of(0, 2 * tries, 10_000, 1);
    }

    @Then("it goes")
    public void timeline(String drawing) {
        new Timeline(spec, parameters, rootZone).play(drawing);
    }

    @Given("a town of {int} services like it in {int} zone(s)")
    public void simulateServices(int services, int zones) {
        List<String> names = List.of("east", "west", "north").subList(0, zones);
        zones = new SimulatedZones(7, names, 1, parameters);
        for (int i = 0; i < services; i++) {
            zones.add(new ServiceSpec(
                    "rare" + i, spec.memoryMb(), spec.bootMs(), spec.maxConcurrency(), spec.targetMs()));
        }
    }

    @When("each of them is called {int} times within a second, {int} ms of work each")
    public void requestEachService(int times, int workMs) {
        zones.runUntil(1000);
        for (String service : zones.specs.keySet()) {
            for (int i = 0; i < times; i++) {
                SimulatedZones.RequestKind kind =
                        new SimulatedZones.RequestKind(service, 2, spec.targetMs(), 8000, 1, 0.3, workMs, 0);
                zones.at(1000 + zones.random.nextInt(1000), () -> zones.request(kind, "east"));
            }
        }
        zones.runUntil(12_000);
    }

    @Then("all are served, {int} in a hundred of them in time, by {int} starts at most")
    public void served(int inTime, int starts) {
        assertEquals(0, zones.unserved, zones.figures(1, 1, 1));
        assertEquals(0, zones.overLimit);
        assertTrue(zones.inTime * 100 >= inTime * zones.requests, zones.figures(1, 1, 1));
        assertTrue(zones.starts <= starts, zones.figures(1, 1, 1));
    }
}
