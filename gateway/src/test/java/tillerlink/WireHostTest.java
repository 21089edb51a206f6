package tillerlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.wirehost.MalformedWireException;
import tillerlink.wirehost.WireHost;

class WireHostTest {
  private static final String UP =
      "[\"Up\",3,5,{\"tick_us\":5000,\"caps\":{\"max_attempts\":2},\"novel\":[{}],"
          + "\"profiles\":[{\"aim_us\":800000,\"hard_limit_us\":4000000,\"semantics\":\"repeatable\"}]}]";
  private static final String LIST =
      "[\"DefineList\",0,[[0,null,0,1,0,1,\"10.0.0.1:7000\",\"later value\"]]],"
          + "[\"BackendsChanged\",3,1,1,0]";
  private static final String INCOMING =
      "[\"Incoming\",3,\"id-1\",11,false,false,0,8652250,0,null,12000,384]";

  @Test
  void answersEachBatchAndIgnoresUnknownEventsAndValues() throws IOException {
    assertEquals(
        """
        {"do":[]}
        {"do":[["Log",3,"unknown event Novelty ignored"],["Provide",3,"id-1",2,0],["Try",3,"id-1",0,"10.0.0.1:7000"],\
        ["Arm",3,8642200,0]]}
        {"do":[]}
        """,
        repliesTo(
            batch(""),
            batch(UP + "," + LIST + "," + INCOMING + ",[\"Novelty\",3,1]"),
            batch(
                "[\"Reply\",3,\"id-1\",0,\"10.0.0.1:7000\",\"completed\",18500,true,0,null],"
                    + "[\"Expired\",3,\"id-1\"],[\"Reply\",3,\"gone\",0,\"10.0.0.1:7000\",\"severed\",1,true]")));
  }

  @Test
  void listNumbersAreReusedWithinABatch() throws IOException {
    String listOfSecondGateway =
        LIST.replace("10.0.0.1", "10.0.0.2").replace(",3,1,1,0]", ",4,1,1,0]");
    String eventsOfTwoGateways =
        UP
            + ","
            + UP.replace("Up\",3", "Up\",4")
            + ","
            + LIST
            + ","
            + listOfSecondGateway
            + ","
            + INCOMING
            + ","
            + INCOMING.replace("Incoming\",3", "Incoming\",4");
    assertEquals(
        """
        {"do":[["Provide",3,"id-1",2,0],["Try",3,"id-1",0,"10.0.0.1:7000"],["Arm",3,8642200,0],\
        ["Provide",4,"id-1",2,0],["Try",4,"id-1",0,"10.0.0.2:7000"],["Arm",4,8642200,0]]}
        """,
        repliesTo(batch(eventsOfTwoGateways)));
  }

  @Test
  void malformedInputIsReported() {
    assertEquals("line 2 is not JSON", errorMessage(batch(""), "{oops").substring(0, 18));
    assertEquals("line 1: expected a batch as an object, got START_ARRAY", errorMessage("[]"));
    assertEquals("line 1: batch has no integer wall_us or no inbox array", errorMessage("{}"));
    assertEquals(
        "line 1: event Up: expected an object as value 3 (settings), got no value",
        errorMessage(batch("[\"Up\",3,5]")));
    assertEquals(
        "line 1: expected an event as an array starting with its name, got 7",
        errorMessage(batch("7")));
  }

  @Test
  void exceptionInsideAnInstanceIsReported() throws IOException {
    String unknownRequestClass = INCOMING.replace("false,false,0,", "false,false,9,");
    assertEquals(
        "{\"do\":[[\"Panic\",3,\"java.lang.IndexOutOfBoundsException: Index 9",
        repliesTo(batch(UP + "," + unknownRequestClass)).substring(0, 63));
  }

  private static String batch(String events) {
    return "{\"wall_us\":8412250,\"inbox\":[" + events + "]}";
  }

  private static String repliesTo(String... lines) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] input = String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
    new WireHost(DefaultDispatchPolicy::new).serve(new ByteArrayInputStream(input), out);
    return out.toString(StandardCharsets.UTF_8);
  }

  private static String errorMessage(String... lines) {
    return assertThrows(MalformedWireException.class, () -> repliesTo(lines)).getMessage();
  }
}
