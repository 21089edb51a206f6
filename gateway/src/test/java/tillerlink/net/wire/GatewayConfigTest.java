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

/** What a configuration says, at the start and when it is read again. */
class GatewayConfigTest {
  @TempDir Path folder;

  /**
   * Guards a process with fewer descriptors against a bound that the program made up, and one with
   * more.
   */
  @Test
  void descriptorLimitDefaultsToThatOfTheSystem() throws IOException {
    long given =
        ((UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
            .getMaxFileDescriptorCount();
    assertEquals(Math.min(1 << 16, given), read(with("\"cores\":1")).sockets());
    assertEquals(300, read(with("\"sockets\":300")).sockets());
  }

  /** Guards a gateway that runs: what it can't use is told in words, and nothing of it is taken. */
  @Test
  void unusableConfigurationIsReported() {
    assertEquals("the configuration is empty", fault(""));
    assertEquals("'limits.sockets' is not a number above 0", fault(with("\"sockets\":\"many\"")));
    assertEquals("'limits.sockets' is not a number above 0", fault(with("\"sockets\":0")));
    assertEquals("'resolver' has no port", fault(with("").replace(":5353", ":0")));
    assertEquals("not an address with a port: 127.0.0.1", fault(with("").replace(":5353", "")));
  }

  private static String with(String limits) {
    return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:8080\",\"resolver\":\"127.0.0.1:5353\",\"seed\":\"1f\",\"limits\":{"
        + limits
        + "},\"settings\":{}}";
  }

  private GatewayConfig read(String text) throws IOException {
    return GatewayConfig.read(Files.writeString(folder.resolve("configuration.json"), text));
  }

  private String fault(String text) {
    return assertThrows(IOException.class, () -> read(text)).getMessage();
  }
}
