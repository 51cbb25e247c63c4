package brambletray.platform.provisioning;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;

/** The sentences of the yard's features. */
public final class ProvisioningSteps {
    private SimulatedProvisioning scene;

    @Given("a platform that accepts {int} starts and stops a second")
    public void platform(int rate) {
        scene = new SimulatedProvisioning(rate, rate);
    }

    @Given("a platform that accepts {int} starts and stops a second and says {int}")
    public void platform(int rate, int said) {
        scene = new SimulatedProvisioning(rate, said);
    }

    @Given("workers {} of {int} MB in zone {word} of region {word}")
    public void workers(String names, int mb, String zone, String region) {
        for (String name : names.split(" +")) {
            scene.worker(name, zone, region, mb);
        }
    }

    @Given("a service {word} of {int} MB that starts in {int} ms")
    public void service(String name, int mb, int bootMs) {
        scene.service(name, mb, bootMs);
    }

    @When("this is played")
    public void play(String drawn) {
        new TimelinePlayer(scene).play(drawn);
    }
}
