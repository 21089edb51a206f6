package tillerlink.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.fleet.Fleet;
import tillerlink.trace.Layout;

/**
 * Tests that one run reports all errors of an operator's file, each with its line and column, and
 * that valid files are read with their defaults.
 */
class OperatorFileTest {
  @TempDir private Path folder;

  private OperatorFile read(String text) throws IOException {
    return OperatorFile.read(Files.writeString(folder.resolve("operator.hcl"), text));
  }

  private String errors(String text) {
    StringBuilder all = new StringBuilder();
    assertThrows(OperatorFile.InvalidFileException.class, () -> read(text))
        .errors()
        .forEach(error -> all.append(error).append('\n'));
    return all.toString();
  }

  @Test
  void reportsAllErrorsOfAFile() {
    assertEquals(
        """
        2:3: 'form' is 'xml', expected one of text, json
        3:3: unknown attribute 'colour' in log
        5:12: 'median_work_ms' is missing in track "a b"
        5:12: invalid track name 'a b': expected 1 to 32 letters, digits, '-' or '_'
        6:3: 'effect' is 'maybe', expected one of pure, receipted, effectful
        7:3: 'soft_limit_ms' is 'ten', expected a number
        8:3: 'hard_stop_ms' is not a literal: expected a quoted string, a number, a boolean or a \
        list of these
        9:3: 'threads' is 1.5, expected an integer
        10:3: 'kinds' is not a list of quoted strings
        12:6: fleet requires at least one 'kind' block and one 'engines' block
        13:3: 'gateways' is 0, expected 1 to 1000
        14:3: 'zones' is not a list of quoted strings
        15:8: unknown block 'bogus' in fleet
        18:1: unknown attribute 'alone' in the file
        """,
        errors(
            """
            log {
              form = "xml"
              colour = 3
            }
            track "a b" {
              effect = "maybe"
              soft_limit_ms = "ten"
              hard_stop_ms = 5 * 2
              threads = 1.5
              kinds = ["a", 3]
            }
            fleet {
              gateways = 0
              zones = "east"
              bogus {
              }
            }
            alone = true
            """));
  }

  @Test
  void reportsReferencesToUnknownNames() {
    assertEquals(
        """
        11:5: unknown kind 'k2'
        21:3: the fleet has no kind 'k9'
        26:3: the fleet has no engine 'e7'
        31:3: the fleet has no gateway 'e1'
        35:3: unknown column 'no'
        36:3: column 9 does not exist: 'columns' has 3 elements
        39:7: expected exactly one of 'in', 'not_in' or a range by 'least' and 'most' in only
        """,
        errors(
            """
            fleet {
              zones = ["z"]
              kind "k" {
                cores = 8
                memory_mb = 10
              }
              engines "e" {
                zone = "z"
                count = 2

                kind = "k2"
              }
              gateways = 2
            }
            track "t" {
              effect = "pure"
              soft_limit_ms = 10
              hard_stop_ms = 20
              median_work_ms = 1

              kinds = ["k9"]
            }
            trouble {
              at_s = 1
              what = "gone"
              whom = "e7"
            }
            trouble {
              at_s = 1
              what = "killed"
              whom = "e1"
            }
            layout "mine" {
              columns = ["a", "b", "c"]
              start = "no"
              end = "9"
              job = "3"

              only {
                column = "a"
              }
            }
            """));
  }

  @Test
  void reportsErrorsOfMembersChannelsAndStatements() {
    assertEquals(
        """
        1:8: 'site' is missing in members
        2:3: invalid name 'a b': expected 1 to 64 letters, digits, '.', '-' or '_'
        3:3: '0.0.0.0:7400' in 'listen' is not a unicast IP address with a port, such as \
        10.0.0.7:7400
        4:3: '10.0.0.300:1' in 'seeds' is not a unicast IP address with a port, such as \
        10.0.0.7:7400
        4:3: '[::1]:70000' in 'seeds' is not a unicast IP address with a port, such as 10.0.0.7:7400
        4:3: 'gw1:7400' in 'seeds' is not a unicast IP address with a port, such as 10.0.0.7:7400
        4:3: duplicate '127.0.0.1:7401' in 'seeds'
        5:3: 'probe_ms' is 5, expected 50 to 60000
        6:13: 'at' is missing in reach "n1"
        9:13: duplicate reach 'n1'
        12:3: unknown attribute 'port' in members
        14:9: channels requires the blocks 'members' and 'store'
        15:3: duplicate 'north' in 'sites'
        16:3: 'absent_after_s' is 'long', expected a number
        18:11: statements requires the blocks 'members' and 'store'
        19:3: 'voters' has 2 names, expected an odd number: an even number tolerates no more \
        failures than one voter fewer
        20:3: 'fence' is 'no', expected true or false
        """,
        errors(
            """
            members {
              fleet = "a b"
              listen = "0.0.0.0:7400"
              seeds = ["gw1:7400", "127.0.0.1:7401", "10.0.0.300:1", "[::1]:70000", "127.0.0.1:7401"]
              probe_ms = 5
              reach "n1" {
                # at = "127.0.0.1:9"
              }
              reach "n1" {
                at = "[fd00::7]:7400"
              }
              port = 7
            }
            channels {
              sites = ["north", "south", "north"]
              absent_after_s = "long"
            }
            statements {
              voters = ["n1", "n2"]
              fence = "no"
            }
            """));
  }

  @Test
  void reportsMissingVotersAndMissingOwnSite() {
    assertEquals(
        """
        10:3: 'sites' does not contain 'west', the site of this gateway
        13:3: 'voters' is empty
        """,
        errors(
            """
            store {
              folder = "s"
            }
            members {
              fleet = "f"
              site = "west"
              listen = "127.0.0.1:7400"
            }
            channels {
              sites = ["east"]
            }
            statements {
              voters = []
            }
            """));
    assertEquals(
        """
        1:11: 'voters' is missing in statements
        1:11: statements requires the blocks 'members' and 'store'
        """,
        errors("statements {\n}\n"));
  }

  @Test
  void readsMembersChannelsAndStatementsOfTheExample() throws IOException {
    OperatorFile file = OperatorFile.read(Path.of("../deploy/operator.hcl"));
    assertEquals(
        new MembersConfig(
            "newsroom",
            "north",
            "10.1.0.7:7400",
            List.of("10.1.0.7:7400", "10.2.0.7:7400"),
            "/etc/tillerlink/fleet.secret",
            Map.of("south-1", "10.9.0.2:7400"),
            5000),
        file.members());
    assertEquals(
        new ChannelsConfig(
            List.of("north", "south", "studio"),
            List.of("north-1", "south-1", "studio-1"),
            3_000_000,
            600_000,
            64L << 20,
            1L << 30,
            64),
        file.channels());
    assertEquals(
        new StatementsConfig(List.of("north-1", "north-2", "south-1"), 30_000, 0.01, false),
        file.statements());
  }

  /**
   * The settings of the fleet in the example are the defaults, and an idempotency key is remembered
   * for the deadline of its request class unless the file sets another time.
   */
  @Test
  void exampleContainsTheDefaults() throws IOException {
    Fleet example = OperatorFile.read(Path.of("../deploy/operator.hcl")).fleet();
    OperatorFile minimal =
        read(
            """
            fleet {
              zones = ["z"]
              kind "k" {
                cores     = 8
                memory_mb = 10
              }
              engines "e" {
                kind = "k"
                zone = "z"
              }
            }
            track "t" {
              effect         = "receipted"
              soft_limit_ms  = 10
              hard_stop_ms   = 70
              median_work_ms = 1
            }
            """);
    Fleet defaults = minimal.fleet();
    assertEquals(
        example,
        new Fleet(
            defaults.gateways(),
            defaults.sockets(),
            example.kinds(),
            example.zones(),
            example.engines(),
            defaults.progressInterval(),
            defaults.startCapacity(),
            defaults.warmupTime(),
            defaults.overloadFactor(),
            defaults.overloadWindow(),
            defaults.drainGrace(),
            defaults.minRetries(),
            defaults.retryRatio(),
            defaults.retryBudgetWindow(),
            defaults.maxAttempts(),
            defaults.maxRetryAfter()));
    assertEquals(700, minimal.requestClasses().get(0).window());
  }

  @Test
  void readsTheSecretUnlessItIsMissingOrTooShort() throws IOException {
    String file = folder.resolve("secret").toString();
    MembersConfig members =
        new MembersConfig("f", "s", "127.0.0.1:1", List.of(), file, Map.of(), 5000);
    assertEquals(
        file + ": secret file does not exist or is not readable",
        assertThrows(IOException.class, members::secret).getMessage());
    Files.writeString(Path.of(file), "too short\n");
    assertEquals(
        file + ": secret has 9 bytes, expected at least 16",
        assertThrows(IOException.class, members::secret).getMessage());
    Files.writeString(Path.of(file), "0123456789abcdef\r\n");
    assertEquals("0123456789abcdef", new String(members.secret(), StandardCharsets.US_ASCII));
  }

  @Test
  void reportsSyntaxErrorsAtTheirPositions() {
    assertEquals(
        "2:10: unterminated string: no closing quote on this line\n",
        errors("log {\n  form = \"te\n}\n"));
    assertEquals("1:5: unclosed '{'\n", errors("log {\n"));
    assertEquals("2:1: unmatched '}'\n", errors("a = 1\n}\n"));
    assertEquals("3:1: unterminated block comment\n", errors("\n\n/* x\n"));
    assertEquals(
        "1:1: unknown attribute 'log' in the file\n2:3: '=' is not part of an attribute\n",
        errors("log = 1\n  = 3\n"));
  }

  @Test
  void readsALayoutOfTheOperator() throws IOException {
    Layout layout =
        read("""
        layout "mine" {
          delimiter = ";"
          columns = ["at", "to", "job"]
          time_unit = "ms"
          start = "1"
          end = "to"
          job = "job"
          only {
            column = "to"
            least = 5
          }
        }
        """)
            .layouts()
            .get(0);
    assertEquals("at", layout.start());
    assertEquals(10, layout.tenthsPer());
    assertEquals(5, layout.wanted().get(0).least());
  }
}
