package tillerlink;

import java.lang.reflect.Method;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.platform.commons.support.ReflectionSupport;

/**
 * Plays each of the module's stories under other settings: under other names, and with all times,
 * works and values a few times as large. What it orders must be the same, at times as much larger:
 * no figure of one site decides anything.
 */
class OtherSettingsTest {
  @TestFactory
  List<DynamicTest> stories() {
    List<DynamicTest> stories = new ArrayList<>();
    for (Method story : DefaultDispatchPolicyTest.class.getDeclaredMethods()) {
      if (story.isAnnotationPresent(Test.class)) {
        stories.add(retold(story, 1, true));
        stories.add(retold(story, 2, false));
        stories.add(retold(story, 3, true));
        stories.add(retold(story, 7, false));
      }
    }
    return stories;
  }

  private static DynamicTest retold(Method story, int scale, boolean renamed) {
    return DynamicTest.dynamicTest(
        story.getName() + " x " + scale + (renamed ? " renamed" : ""),
        () -> {
          Trace.scale = scale;
          Trace.renamed = renamed;
          try {
            ReflectionSupport.invokeMethod(story, new DefaultDispatchPolicyTest());
          } finally {
            Trace.scale = 1;
            Trace.renamed = false;
          }
        });
  }
}
