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
  private static final String SUBMIT =
      "[\"Incoming\",3,\"id-1\",11,false,false,0,8652250,0,null,12000,384]";

  @Test
  void answersEachBatchAndSkipsWhatItDoesNotKnow() throws IOException {
    assertEquals(
        """
        {"do":[]}
        {"do":[["Log",3,"unknown event Novelty ignored"],["Provide",3,"id-1",2,0],["Try",3,"id-1",0,"10.0.0.1:7000"],\
        ["Arm",3,8642200,0]]}
        {"do":[]}
        """,
        played(
            batch(""),
            batch(UP + "," + LIST + "," + SUBMIT + ",[\"Novelty\",3,1]"),
            batch(
                "[\"Reply\",3,\"id-1\",0,\"10.0.0.1:7000\",\"completed\",18500,true,0,null],"
                    + "[\"Expired\",3,\"id-1\"],[\"Reply\",3,\"gone\",0,\"10.0.0.1:7000\",\"severed\",1,true]")));
  }

  @Test
  void listNumbersAreReusedWithinABatch() throws IOException {
    String other = LIST.replace("10.0.0.1", "10.0.0.2").replace(",3,1,1,0]", ",4,1,1,0]");
    String two =
        UP
            + ","
            + UP.replace("Up\",3", "Up\",4")
            + ","
            + LIST
            + ","
            + other
            + ","
            + SUBMIT
            + ","
            + SUBMIT.replace("Incoming\",3", "Incoming\",4");
    assertEquals(
        """
        {"do":[["Provide",3,"id-1",2,0],["Try",3,"id-1",0,"10.0.0.1:7000"],["Arm",3,8642200,0],\
        ["Provide",4,"id-1",2,0],["Try",4,"id-1",0,"10.0.0.2:7000"],["Arm",4,8642200,0]]}
        """,
        played(batch(two)));
  }

  @Test
  void malformedInputIsReported() {
    assertEquals("line 2 is not JSON", refusal(batch(""), "{oops").substring(0, 18));
    assertEquals("line 1: a batch is not an object", refusal("[]"));
    assertEquals(
        "line 1: a batch lacks its clock (wall_us) or its inbox (an array)", refusal("{}"));
    assertEquals(
        "line 1: event Up: value 3 (settings) is not an object", refusal(batch("[\"Up\",3,5]")));
    assertEquals(
        "line 1: an event is not an array that begins with its name: 7", refusal(batch("7")));
  }

  @Test
  void faultInsideAnInstanceIsReported() throws IOException {
    String unknownRequestClass = SUBMIT.replace("false,false,0,", "false,false,9,");
    assertEquals(
        "{\"do\":[[\"Panic\",3,\"java.lang.IndexOutOfBoundsException: Index 9",
        played(batch(UP + "," + unknownRequestClass)).substring(0, 63));
  }

  private static String batch(String events) {
    return "{\"wall_us\":8412250,\"inbox\":[" + events + "]}";
  }

  private static String played(String... lines) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] input = String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
    new WireHost(DefaultDispatchPolicy::new).serve(new ByteArrayInputStream(input), out);
    return out.toString(StandardCharsets.UTF_8);
  }

  private static String refusal(String... lines) {
    return assertThrows(MalformedWireException.class, () -> played(lines)).getMessage();
  }
}
