package tillerlink.net.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests of reading a configuration file, at the start and when it is read again. */
class GatewayConfigTest {
  @TempDir Path folder;

  /**
   * Guards against a built-in default for the descriptor limit, which would be too high for a
   * process with fewer descriptors and too low for a process with more.
   */
  @Test
  void descriptorLimitDefaultsToTheLimitOfTheProcess() throws IOException {
    long processLimit =
        ((UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
            .getMaxFileDescriptorCount();
    assertEquals(Math.min(1 << 16, processLimit), read(configuration("\"cores\":1")).sockets());
    assertEquals(300, read(configuration("\"sockets\":300")).sockets());
  }

  /**
   * Guards a running gateway: an invalid configuration must be rejected as a whole, with a message
   * that names the invalid value.
   */
  @Test
  void invalidConfigurationIsRejectedWithAReason() {
    assertEquals(
        "configuration file " + folder.resolve("configuration.json") + " is empty", error(""));
    assertEquals(
        "'limits.sockets' must be a number above 0, found many",
        error(configuration("\"sockets\":\"many\"")));
    assertEquals(
        "'limits.sockets' must be a number above 0, found 0",
        error(configuration("\"sockets\":0")));
    assertEquals(
        "'resolver' must have a port above 0, found 127.0.0.1:0",
        error(configuration("").replace(":5353", ":0")));
    assertEquals(
        "expected an address of the form host:port, found 127.0.0.1",
        error(configuration("").replace(":5353", "")));
    assertEquals(
        "'name' must be a non-empty string, found 7",
        error(configuration("").replace("\"n0\"", "7")));
    assertEquals(
        "'limits' must be an object, found [1]",
        error(configuration("").replace("\"limits\":{}", "\"limits\":[1]")));
  }

  /** Guards against an error message that consists only of the path of the missing file. */
  @Test
  void missingConfigurationFileIsNamed() {
    Path missing = folder.resolve("missing.json");
    assertEquals(
        "configuration file " + missing + " does not exist",
        assertThrows(IOException.class, () -> GatewayConfig.read(missing)).getMessage());
  }

  /**
   * Returns a configuration.
   *
   * @param limits the members of its {@code limits} object
   */
  private static String configuration(String limits) {
    return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:8080\",\"resolver\":\"127.0.0.1:5353\",\"seed\":\"1f\",\"limits\":{"
        + limits
        + "},\"settings\":{}}";
  }

  private GatewayConfig read(String text) throws IOException {
    return GatewayConfig.read(Files.writeString(folder.resolve("configuration.json"), text));
  }

  /** Returns the message with which a configuration is rejected. */
  private String error(String text) {
    return assertThrows(IOException.class, () -> read(text)).getMessage();
  }
}
