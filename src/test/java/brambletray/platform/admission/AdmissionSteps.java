package brambletray.platform.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;

/** Cucumber steps of the admission features. */
public class AdmissionSteps {
    private ServiceSpec spec;
    private String rootZone = "east";
    private AdmissionParameters parameters = AdmissionParameters.of(0.2, 12, 10_000, 1);
    private SimulatedZones simulation;

    @Given("a service with {int} MB, concurrency {int}, boot time {int} ms and target {int} ms")
    public void service(int memoryMb, int maxConcurrency, int bootMs, int targetMs) {
        spec = new ServiceSpec("s", memoryMb, bootMs, maxConcurrency, targetMs);
    }

    @Given("the root zone is {word}")
    public void setRootZone(String zone) {
        rootZone = zone;
    }

    @Given("a zone justifies its own instances from {int} requests per second")
    public void breakEvenRate(int requestsPerSecond) {
        parameters = parameters.withCrossZonePrice(spec.memoryMb() / 1024.0 / requestsPerSecond);
    }

    @Given("a retry budget with a slack of {int} and a ratio of 0")
    public void slack(int retries) {
        parameters = AdmissionParameters.of(0, 2 * retries, 10_000, 1);
    }

    @Then("the timeline is")
    public void timeline(String timeline) {
        new Timeline(spec, parameters, rootZone).play(timeline);
    }

    @Given("{int} such services in {int} zone(s)")
    public void simulateServices(int services, int zoneCount) {
        List<String> names = List.of("east", "west", "north").subList(0, zoneCount);
        simulation = new SimulatedZones(7, names, 1, parameters);
        for (int i = 0; i < services; i++) {
            simulation.add(new ServiceSpec(
                    "rare" + i, spec.memoryMb(), spec.bootMs(), spec.maxConcurrency(), spec.targetMs()));
        }
    }

    @When("each of them receives {int} requests within a second, with {int} ms of work each")
    public void requestEachService(int times, int workMs) {
        simulation.runUntil(1000);
        for (String service : simulation.specs.keySet()) {
            for (int i = 0; i < times; i++) {
                SimulatedZones.RequestKind kind =
                        new SimulatedZones.RequestKind(service, 2, spec.targetMs(), 8000, 1, 0.3, workMs, 0);
                simulation.at(1000 + simulation.random.nextInt(1000), () -> simulation.request(kind, "east"));
            }
        }
        simulation.runUntil(12_000);
    }

    @Then("all are served, {int} percent of them in time, with {int} starts at most")
    public void served(int inTime, int starts) {
        assertEquals(0, simulation.unserved, simulation.figures(1, 1, 1));
        assertEquals(0, simulation.overLimit);
        assertTrue(simulation.inTime * 100 >= inTime * simulation.requests, simulation.figures(1, 1, 1));
        assertTrue(simulation.starts <= starts, simulation.figures(1, 1, 1));
    }
}
