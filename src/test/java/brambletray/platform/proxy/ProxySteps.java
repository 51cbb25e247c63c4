package brambletray.platform.proxy;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

/** The sentences of the features of this plane. */
public final class ProxySteps {
    private final SimulatedProxy proxy = new SimulatedProxy();

    @Given("a route of type {word} for {int} host(s)")
    public void route(String type, int hosts) {
        proxy.route(type, hosts);
    }

    @When("this is played")
    public void play(String drawn) {
        proxy.play(drawn);
    }

    @Then("nothing is left over")
    public void nothingIsLeft() {
        proxy.assertNothingLeft();
    }
}
