package brambletray.platform.proxy;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Plays the timelines in the proxy's feature files. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("brambletray/platform/proxy")
@ConfigurationParameter(key = "cucumber.glue", value = "brambletray.platform.proxy")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
public class ProxyTimelinesTest {}
