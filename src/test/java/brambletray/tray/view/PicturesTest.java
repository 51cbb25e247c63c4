package brambletray.tray.view;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** The drawn timelines of views and of the order. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("brambletray.tray.view")
@ConfigurationParameter(key = "cucumber.glue", value = "brambletray.tray.view")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
class PicturesTest {}
