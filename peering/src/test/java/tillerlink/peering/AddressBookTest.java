package tillerlink.peering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Where others are reached: by their own word, or by the operator's. */
class AddressBookTest {
  @Test
  void theOperatorsWordGoesFirst() {
    Map<String, String> told = Map.of("n2", "10.0.0.2:7400", "n3", "10.0.0.3:7400");
    AddressBook book =
        new AddressBook(
            Map.of("n2", "10.9.0.2:1", "n9", "10.9.0.9:1"), name -> told.getOrDefault(name, ""));
    assertEquals("10.9.0.2:1", book.of("n2"));
    assertEquals("10.0.0.3:7400", book.of("n3"));
    assertEquals("10.9.0.9:1", book.of("n9"), "not met yet");
    assertEquals("", book.of("n4"));
    assertEquals("10.9.0.2:1", book.instead("10.0.0.2:7400"), "members send to addresses");
    assertEquals("10.0.0.3:7400", book.instead("10.0.0.3:7400"));
    assertEquals("10.1.1.1:5", book.instead("10.1.1.1:5"), "a seed is used as it is written");
  }
}
