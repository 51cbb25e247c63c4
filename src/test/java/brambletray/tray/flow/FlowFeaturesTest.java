package brambletray.tray.flow;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Plays the drawn timelines of requests through an edge. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("brambletray/tray/flow")
@ConfigurationParameter(key = "cucumber.glue", value = "brambletray.tray.flow")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
public class FlowFeaturesTest {}
