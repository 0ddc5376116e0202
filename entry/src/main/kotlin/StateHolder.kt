package org.almondjunction.entry

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.update
import org.almondjunction.decisions.ClusterView
import org.almondjunction.decisions.StateChange

/** Holds the accepted state as known to this process; an older state never replaces a newer one. */
internal class StateHolder {
    private val mutableViews = MutableStateFlow(ClusterView())

    val views: StateFlow<ClusterView> = mutableViews.asStateFlow()

    val view: ClusterView get() = mutableViews.value

    fun apply(change: StateChange) = mutableViews.update { it.apply(change) }
}
