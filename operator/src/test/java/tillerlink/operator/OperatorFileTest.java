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

/** One run reports all errors of an operator's file, each with its line and column. */
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
  void allErrorsAreReported() {
    assertEquals(
        """
        2:3: 'form' is none of text, json
        3:3: 'colour' is not known in log
        5:12: 'median_work_ms' is missing in track "a b"
        5:12: a track's name is of letters, digits, - and _, 32 at most
        6:3: 'effect' is none of pure, receipted, effectful
        7:3: 'soft_limit_ms' is not a number
        8:3: 'hard_stop_ms' is not a plain value; texts stand in quotes, and nothing is worked out here
        9:3: 'threads' is not a whole number
        10:3: 'kinds' is not a list of texts in quotes
        12:6: a fleet wants kinds and engines
        13:3: 'gateways' is 0, not within 1 and 1000
        14:3: 'zones' is not a list of texts in quotes
        15:8: a block 'bogus' is not known in fleet
        18:1: 'alone' is not known in the file
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
  void referencesMustExist() {
    assertEquals(
        """
        11:5: there is no kind 'k2'
        21:3: there is no kind 'k9' in the fleet
        26:3: there is no engine 'e7'
        31:3: there is no gateway 'e1'
        35:3: there is no column 'no'
        36:3: there is no column 9
        39:7: a test wants one of: in, not_in, or least and most
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
  void membersChannelsAndStatementsAreChecked() {
    assertEquals(
        """
        1:8: 'site' is missing in members
        2:3: 'a b' is not a name of letters, digits, '.', '-' and '_', 64 at most
        3:3: '0.0.0.0:7400' is not the address and port of one gateway, as in 10.0.0.7:7400
        4:3: '10.0.0.300:1' is not the address and port of one gateway, as in 10.0.0.7:7400
        4:3: '127.0.0.1:7401' stands twice in 'seeds'
        4:3: '[::1]:70000' is not the address and port of one gateway, as in 10.0.0.7:7400
        4:3: 'gw1:7400' is not the address and port of one gateway, as in 10.0.0.7:7400
        5:3: 'probe_ms' is 5, not within 50 and 60000
        6:13: 'at' is missing in reach "n1"
        9:13: a second reach 'n1'
        12:3: 'port' is not known in members
        14:9: channels wants the parts members and store too
        15:3: 'north' stands twice in 'sites'
        16:3: 'absent_after_s' is not a number
        18:11: statements wants the parts members and store too
        19:3: an even number of voters bears no more failures than one voter fewer
        20:3: 'fence' is neither true nor false
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
  void sharedStateRequiresVotersAndTheOwnSite() {
    assertEquals(
        """
        10:3: the site 'west' of this gateway is not among 'sites'
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
        1:11: statements wants the parts members and store too
        """,
        errors("statements {\n}\n"));
  }

  @Test
  void exampleHasEveryBlock() throws IOException {
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
   * What the example states of a fleet is the default, and a mark is kept for its request class's
   * deadline.
   */
  @Test
  void exampleStatesTheDefaults() throws IOException {
    Fleet said = OperatorFile.read(Path.of("../deploy/operator.hcl")).fleet();
    OperatorFile terse =
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
    Fleet left = terse.fleet();
    assertEquals(
        said,
        new Fleet(
            left.gateways(),
            left.sockets(),
            said.kinds(),
            said.zones(),
            said.engines(),
            left.progressInterval(),
            left.startCapacity(),
            left.warmupTime(),
            left.overloadFactor(),
            left.overloadWindow(),
            left.drainGrace(),
            left.minRetries(),
            left.retryRatio(),
            left.retryBudgetWindow(),
            left.maxAttempts(),
            left.maxRetryAfter()));
    assertEquals(700, terse.requestClasses().get(0).window());
  }

  @Test
  void secretIsReadWhenServing() throws IOException {
    String file = folder.resolve("secret").toString();
    MembersConfig members =
        new MembersConfig("f", "s", "127.0.0.1:1", List.of(), file, Map.of(), 5000);
    assertEquals(
        file + ": there is no secret to be read there",
        assertThrows(IOException.class, members::secret).getMessage());
    Files.writeString(Path.of(file), "too short\n");
    assertEquals(
        file + ": a secret of 9 bytes; it wants 16 at the least",
        assertThrows(IOException.class, members::secret).getMessage());
    Files.writeString(Path.of(file), "0123456789abcdef\r\n");
    assertEquals("0123456789abcdef", new String(members.secret(), StandardCharsets.US_ASCII));
  }

  @Test
  void syntaxErrorIsReportedAtItsPlace() {
    assertEquals(
        "2:10: a quote that does not end on its line\n", errors("log {\n  form = \"te\n}\n"));
    assertEquals("1:5: '{' is not closed\n", errors("log {\n"));
    assertEquals("2:1: '}' closes nothing\n", errors("a = 1\n}\n"));
    assertEquals("3:1: a comment that does not end\n", errors("\n\n/* x\n"));
    assertEquals(
        "1:1: 'log' is not known in the file\n2:3: '=' gives no name a value here\n",
        errors("log = 1\n  = 3\n"));
  }

  @Test
  void ownLayoutIsRead() throws IOException {
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
