package brambletray.tray.vow;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** The drawn timelines of the duty. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("brambletray.tray.vow")
@ConfigurationParameter(key = "cucumber.glue", value = "brambletray.tray.vow")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
class DutyPicturesTest {}
