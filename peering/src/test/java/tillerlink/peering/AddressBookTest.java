package tillerlink.peering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which address of another gateway is used. */
class AddressBookTest {
  @Test
  void configuredAddressesTakePrecedence() {
    Map<String, String> announced = Map.of("n2", "10.0.0.2:7400", "n3", "10.0.0.3:7400");
    AddressBook book =
        new AddressBook(
            Map.of("n2", "10.9.0.2:1", "n9", "10.9.0.9:1"),
            name -> announced.getOrDefault(name, ""));
    assertEquals("10.9.0.2:1", book.addressOf("n2"));
    assertEquals("10.0.0.3:7400", book.addressOf("n3"));
    assertEquals("10.9.0.9:1", book.addressOf("n9"), "not met yet");
    assertEquals("", book.addressOf("n4"));
    assertEquals("10.9.0.2:1", book.resolve("10.0.0.2:7400"), "members send to addresses");
    assertEquals("10.0.0.3:7400", book.resolve("10.0.0.3:7400"));
    assertEquals("10.1.1.1:5", book.resolve("10.1.1.1:5"), "a seed is used as it is written");
  }
}
