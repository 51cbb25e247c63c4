package brambletray.platform.proxy;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

/** The sentences of the features of this plane. */
public final class ProxySteps {
    private final SimulatedProxy street = new SimulatedProxy();

    @Given("a route of type {word} for {int} host(s)")
    public void route(String type, int hosts) {
        street.route(type, hosts);
    }

    @When("this is played")
    public void play(String drawn) {
        street.play(drawn);
    }

    @Then("nothing is left over")
    public void atRest() {
        street.atRest();
    }
}
