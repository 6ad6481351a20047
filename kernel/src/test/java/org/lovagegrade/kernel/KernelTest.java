package org.lovagegrade.kernel;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class KernelTest {
    private final List<String> events = new ArrayList<>();

    private Service recordingService(String name, boolean failsToStart) {
        return new Service() {
            @Override
            public String name() {
                return name;
            }

            @Override
            public void start() {
                if (failsToStart) {
                    throw new IllegalStateException(name + " can't start");
                }
                events.add("start " + name);
            }

            @Override
            public void stop() {
                events.add("stop " + name);
            }
        };
    }

    @Test
    void shouldStopServicesInReverseOrder() {
        // given
        Kernel kernel = Kernel.empty().register(recordingService("a", false)).register(recordingService("b", false));

        // when
        kernel.start();
        kernel.stop();

        // then
        assertThat(events)
                .containsExactly("start a", "start b", "stop b", "stop a")
                .inOrder();
    }

    @Test
    void shouldStopStartedServicesWhenLaterServiceFailsToStart() {
        // given
        Kernel kernel = Kernel.empty().register(recordingService("a", false)).register(recordingService("b", true));

        // when
        assertThrows(IllegalStateException.class, kernel::start);

        // then
        assertThat(events).containsExactly("start a", "stop a").inOrder();
    }

    @Test
    void shouldFindServiceByNameAndRejectDuplicateName() {
        // given
        Service service = recordingService("a", false);
        Kernel kernel = Kernel.empty().register(service);

        // when, then
        assertThat(kernel.find("a", Service.class)).isSameInstanceAs(service);
        assertThrows(IllegalStateException.class, () -> kernel.find("b", Service.class));
        assertThrows(IllegalStateException.class, () -> kernel.register(recordingService("a", false)));
    }
}
