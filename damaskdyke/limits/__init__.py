"""Admission, retry budgets and limits of workspaces."""
