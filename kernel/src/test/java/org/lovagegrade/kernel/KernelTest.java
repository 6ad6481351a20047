package org.lovagegrade.kernel;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class KernelTest {
    private final List<String> happened = new ArrayList<>();

    private Service service(String name, boolean failsToStart) {
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
                happened.add("start " + name);
            }

            @Override
            public void stop() {
                happened.add("stop " + name);
            }
        };
    }

    @Test
    void shouldStopInReverseOrderOfTheStart() {
        // given
        Kernel kernel = Kernel.empty().register(service("a", false)).register(service("b", false));

        // when
        kernel.start();
        kernel.stop();

        // then
        assertThat(happened)
                .containsExactly("start a", "start b", "stop b", "stop a")
                .inOrder();
    }

    @Test
    void shouldStopWhatStartedWhenALaterServiceFails() {
        // given
        Kernel kernel = Kernel.empty().register(service("a", false)).register(service("b", true));

        // when
        assertThrows(IllegalStateException.class, kernel::start);

        // then
        assertThat(happened).containsExactly("start a", "stop a").inOrder();
    }

    @Test
    void shouldFindServicesByNameAndRefuseATakenName() {
        // given
        Service service = service("a", false);
        Kernel kernel = Kernel.empty().register(service);

        // when, then
        assertThat(kernel.find("a", Service.class)).isSameInstanceAs(service);
        assertThrows(IllegalStateException.class, () -> kernel.find("b", Service.class));
        assertThrows(IllegalStateException.class, () -> kernel.register(service("a", false)));
    }
}
